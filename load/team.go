package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// team collects what became of one team's requests.
type team struct {
	name   string
	weight float64
	limit  float64
	urgent string
	order  string
	key    string

	mu       sync.Mutex
	outcomes map[string]int
	wrong    int
	latency  *hdrhistogram.Histogram
	// offered and used are slot time by second of the run.
	offered, used map[int]time.Duration
}

const maxLatency = time.Hour

func newTeam(name string, weight, limit float64) *team {
	return &team{
		name: name, weight: weight, limit: limit, outcomes: make(map[string]int),
		latency: hdrhistogram.New(1, maxLatency.Microseconds(), 3),
		offered: make(map[int]time.Duration), used: make(map[int]time.Duration),
	}
}

// sent counts the offered slot time of a request.
func (t *team) sent(at, work time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	spread(t.offered, at, work)
}

// ended counts the end of a request. Only an answered one has used its slot
// time for certain.
func (t *team) ended(outcome string, at, took, work time.Duration, wrong bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.outcomes[outcome]++
	if outcome != answered {
		return
	}
	if wrong {
		t.wrong++
	}
	_ = t.latency.RecordValue(took.Microseconds())
	spread(t.used, max(0, at-work), work)
}

// spread adds the time from a point on to the seconds that it lies in.
func spread(seconds map[int]time.Duration, from, length time.Duration) {
	for length > 0 {
		second := int(from / time.Second)
		part := min(length, time.Duration(second+1)*time.Second-from)
		seconds[second] += part
		from += part
		length -= part
	}
}
