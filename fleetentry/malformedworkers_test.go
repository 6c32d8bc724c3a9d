package fleetentry

import (
	"encoding/json"
	"expvar"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/anvilcourse/anvilcourse/emulator"
)

// counterOf returns the entry's counter.
func counterOf(d *Daemon, name string) int64 {
	if v, known := d.metrics.counters.Get(name).(*expvar.Int); known {
		return v.Value()
	}
	return 0
}

const workersTopic = "keyed.servers"

// workerRecordOf returns the record of the VM's worker, and its ID.
func (p *testPlatform) workerRecordOf(vm string) (id string, record map[string]any) {
	id = p.fleet.Worker(vm).ID()
	raw, found := p.store.Newest(workersTopic, id)
	require.True(p.t, found)
	require.NoError(p.t, json.Unmarshal(raw, &record))
	return id, record
}

// malformedRecord returns the worker's record with one field replaced by the JSON text.
func malformedRecord(t *testing.T, record map[string]any, field, value string) []byte {
	odd := map[string]any{}
	for name, v := range record {
		odd[name] = v
	}
	odd[field] = json.RawMessage("0")
	raw, err := json.Marshal(odd)
	require.NoError(t, err)
	return []byte(strings.Replace(string(raw), fmt.Sprintf("%q:0", field), fmt.Sprintf("%q:%s", field, value), 1))
}

var malformedFields = map[string][2]string{
	"capacity too large":     {"capacity", `{"cpu":1e300,"mem-mb":65536}`},
	"capacity of 2^63-1":     {"capacity", `{"cpu":9223372036854775807,"mem-mb":9223372036854775807}`},
	"start time too large":   {"born", `9223372036854775807`},
	"port out of range":      {"addr", `"127.0.0.1:70000"`},
	"port of 20 digits":      {"addr", `"127.0.0.1:99999999999999999999"`},
	"deeply nested":          {"labels", strings.Repeat("[", 9000) + strings.Repeat("]", 9000)},
	"a state without a name": {"state", `"odd"`},
}

// TestWorkerList_MalformedRecordUnderAWorkersID guards against a malformed record of another writer
// under the ID of a real worker, which replaces the worker's own until its next report: the
// worker must not lose its runs, get more than it holds, or stay out of use afterwards.
func TestWorkerList_MalformedRecordUnderAWorkersID(t *testing.T) {
	for name, odd := range malformedFields {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := newTestPlatform(t, 2)
			p.leader()
			unlimited := testManifest(5)
			unlimited["tenants"].([]any)[0].(map[string]any)["cap"] = map[string]int{}
			p.store.PublishManifest(unlimited)
			p.awaitManifest(5)
			path := p.submit("desk", longRunningJob(3, 0))
			id := jobIDOf(path)
			require.Eventually(t, func() bool { return p.fleet.Running(id) == 3 }, 5*time.Second, 10*time.Millisecond)
			for i := range 3 {
				worker, record := p.workerRecordOf(fmt.Sprintf("vm-a%d", i))
				p.store.PutRaw(workersTopic, worker, malformedRecord(t, record, odd[0], odd[1]))
				// A worker reports again within a heartbeat.
				time.AfterFunc(time.Second, func() { p.store.Put(workersTopic, worker, record) })
			}
			wide := p.submit("desk", emulator.JobBody("long", emulator.Step{Count: 12, MilliCPU: 4000, EstimateMillis: 700}))
			time.Sleep(1500 * time.Millisecond)
			p.awaitState(wide, "completed")
			require.Equal(t, 3, p.fleet.Running(id))
			for i := range 3 {
				require.Equal(t, 1, p.fleet.Starts(fmt.Sprintf("%s.0.0.%d", id, i)), "a run that went on was started again")
			}
			require.Empty(t, p.fleet.Violations())
		})
	}
}

// TestWorkerList_MalformedRecords adds records of other writers under IDs of their own, before the
// start and while entries read the list: entries go on, and jobs are served.
func TestWorkerList_MalformedRecords(t *testing.T) {
	t.Parallel()
	p := newTestPlatform(t, 2)
	odd := int64(0)
	put := func(prefix string) {
		odd = 0
		_, record := p.workerRecordOf("vm-a0")
		for name, field := range malformedFields {
			p.store.PutRaw(workersTopic, prefix+name, malformedRecord(t, record, field[0], field[1]))
			odd++
		}
		for i, raw := range []string{"7", "\xff\xfe", strings.Repeat("[", 20_000), `{"service":"desk"}`, strings.Repeat("x", 200_000)} {
			p.store.PutRaw(workersTopic, fmt.Sprintf("%s-%d\xff\n", prefix, i), []byte(raw))
			odd++
		}
	}
	put("first")
	previous := p.leader()
	p.awaitState(p.submit("desk", twoSteps("short")), "completed")
	undecodable := func() int64 { return counterOf(previous, "worker_records_undecodable") }
	require.Eventually(t, func() bool { return undecodable() == odd }, 5*time.Second, 10*time.Millisecond, "a malformed record is dropped without a trace")
	put("second")
	p.awaitState(p.submit("desk", twoSteps("short")), "completed")
	require.Eventually(t, func() bool { return undecodable() == 2*odd }, 5*time.Second, 10*time.Millisecond)
	crash(previous)
	p.awaitState(p.submit("desk", twoSteps("short")), "completed")
	require.Empty(t, p.fleet.Violations())
}
