package fleetentry

import "github.com/anvilcourse/anvilcourse/fleet"

// recordOverheadBytes is what the store counts of a record beside its key and value: its
// length and that of the key.
const recordOverheadBytes = 5

// journalPart is the part of a batch that goes with one append.
type journalPart struct {
	number  int64
	records []fleet.Record
	// last is set for the batch's last part.
	last bool
}

// journalQueue holds the batches that wait to be stored, in order.
type journalQueue struct {
	batches []journalPart
}

func (q *journalQueue) add(number int64, records []fleet.Record) {
	q.batches = append(q.batches, journalPart{number: number, records: records, last: true})
}

// next dequeues parts of at most maxRecords and maxBytes together, but at least one record. A
// batch that does not fit is cut; what is left of it comes first the next time.
func (q *journalQueue) next(maxRecords, maxBytes int) []journalPart {
	var out []journalPart
	records, bytes := 0, 0
	for len(q.batches) > 0 {
		head := &q.batches[0]
		n := 0
		for ; n < len(head.records); n++ {
			size := recordOverheadBytes + len(head.records[n].Key) + len(head.records[n].Value)
			if records > 0 && (records >= maxRecords || bytes+size > maxBytes) {
				break
			}
			records, bytes = records+1, bytes+size
		}
		if n < len(head.records) {
			if n > 0 {
				out = append(out, journalPart{number: head.number, records: head.records[:n:n]})
				head.records = head.records[n:]
			}
			return out
		}
		out = append(out, *head)
		q.batches = q.batches[1:]
	}
	return out
}

// recordsIn returns the records of the parts in order.
func recordsIn(parts []journalPart) []fleet.Record {
	var out []fleet.Record
	for i := range parts {
		out = append(out, parts[i].records...)
	}
	return out
}
