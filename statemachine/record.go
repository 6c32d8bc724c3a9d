package statemachine

import (
	"encoding/json"

	"github.com/cockroachdb/errors"
)

// SchemaVersion is the version of the record encoding.
const SchemaVersion = 1

// ID identifies a record. A writer numbers its records from 1 and appends
// them in that order.
type ID struct {
	// Writer is the incarnation that wrote the record.
	Writer string
	// Seq is the writer's number for the record.
	Seq uint64
}

// Record is one typed record of a stream.
type Record struct {
	Seq     uint64
	Command Command
}

// Batch is the content of one append: records of one writer, in their order.
type Batch struct {
	Writer string
	// AtMS is the writer's wall clock at the append, in Unix milliseconds.
	AtMS    int64
	Records []Record
}

type wireRecord struct {
	Seq  uint64          `json:"seq"`
	Kind Kind            `json:"kind"`
	Body json.RawMessage `json:"body"`
}

type wireBatch struct {
	Schema  int          `json:"schema"`
	Writer  string       `json:"writer"`
	AtMS    int64        `json:"at_ms"`
	Records []wireRecord `json:"records"`
}

// EncodeBatch encodes a batch for the log.
func EncodeBatch(b Batch) ([]byte, error) {
	wire := wireBatch{Schema: SchemaVersion, Writer: b.Writer, AtMS: b.AtMS}
	for _, r := range b.Records {
		body, err := json.Marshal(r.Command)
		if err != nil {
			return nil, errors.Wrapf(err, "encode %s", r.Command.Kind())
		}
		wire.Records = append(wire.Records, wireRecord{Seq: r.Seq, Kind: r.Command.Kind(), Body: body})
	}
	return json.Marshal(wire)
}

// DecodeBatch decodes a payload of the log. It fails on an unknown schema or
// record kind, and on a batch without a writer.
func DecodeBatch(payload []byte) (Batch, error) {
	var wire wireBatch
	if err := json.Unmarshal(payload, &wire); err != nil {
		return Batch{}, errors.Wrap(err, "decode batch")
	}
	if wire.Schema != SchemaVersion {
		return Batch{}, errors.Newf("batch has schema %d, not %d", wire.Schema, SchemaVersion)
	}
	if wire.Writer == "" {
		return Batch{}, errors.New("batch has no writer")
	}
	out := Batch{Writer: wire.Writer, AtMS: wire.AtMS}
	for _, r := range wire.Records {
		command, err := decodeCommand(r.Kind, r.Body)
		if err != nil {
			return Batch{}, err
		}
		out.Records = append(out.Records, Record{Seq: r.Seq, Command: command})
	}
	return out, nil
}
