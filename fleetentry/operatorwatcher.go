package fleetentry

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/anvilcourse/anvilcourse/fleet"
	"github.com/anvilcourse/anvilcourse/provider"
)

// operatorTailWait is how long a read of the operator's records waits. A change ends
// it at once; a dead connection costs at most this long.
const operatorTailWait = 700 * time.Millisecond

// OperatorWatcher follows what the operator publishes.
type OperatorWatcher struct {
	store   Store
	decoder Decoder
	log     hclog.Logger
	metrics *Metrics

	manifest atomic.Pointer[fleet.Manifest]
	mu       sync.Mutex
	waves    map[int64]PublishedWave
	// evacuations holds the availability zones that are being evacuated.
	evacuations evacuations
	next        int64
	onChange    func(*fleet.Manifest)
	// onEvacuations is called with all zones being evacuated once these have changed.
	onEvacuations func(zones []string)
	failing       bool
}

// PublishedWave is a wave and when this entry first saw it.
type PublishedWave struct {
	Wave    fleet.Wave
	SeenAt  time.Time
	Replays int
}

// NewOperatorWatcher returns a watcher that has read nothing.
func NewOperatorWatcher(store Store, decoder Decoder, metrics *Metrics, log hclog.Logger) *OperatorWatcher {
	return &OperatorWatcher{
		store: store, decoder: decoder, metrics: metrics, log: log.Named("operator"),
		waves: map[int64]PublishedWave{}, evacuations: evacuations{}, next: -1,
	}
}

// Manifest returns the active manifest, or nil before one is known.
func (o *OperatorWatcher) Manifest() *fleet.Manifest { return o.manifest.Load() }

// Waves returns the waves that have been published.
func (o *OperatorWatcher) Waves() []PublishedWave {
	o.mu.Lock()
	defer o.mu.Unlock()
	out := make([]PublishedWave, 0, len(o.waves))
	for _, w := range o.waves {
		out = append(out, w)
	}
	return out
}

// OnChange sets the callback for a new active manifest; nil for none.
func (o *OperatorWatcher) OnChange(callback func(*fleet.Manifest)) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.onChange = callback
}

// Run follows the records until the context ends.
func (o *OperatorWatcher) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := o.read(ctx); err != nil {
			if !o.failing {
				o.log.Warn("reading the operator's records failed", "error", err)
			}
			o.failing = true
			sleep(ctx, readRetryDelay)
			continue
		}
		if o.failing {
			o.log.Info("reading the operator's records works again")
		}
		o.failing = false
	}
}

func (o *OperatorWatcher) read(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, operatorTailWait+readTimeout)
	defer cancel()
	got, whole, err := o.readRecords(ctx)
	if err != nil {
		return err
	}
	// A leader must know the zones being evacuated before a manifest lets it start tasks.
	o.applyEvacuations(got.Items, whole)
	for _, r := range got.Items {
		o.applyRecord(r)
	}
	o.next = got.Next
	if o.Manifest() == nil {
		sleep(ctx, readRetryDelay)
	}
	return nil
}

// readRecords returns the records since the last read; whole is set if these are the newest
// of all keys instead, because earlier ones were not read or have expired.
func (o *OperatorWatcher) readRecords(ctx context.Context) (got fleet.Records, whole bool, err error) {
	if o.next >= 0 {
		got, err = o.store.TailOperator(ctx, o.next, operatorTailWait)
		if code := provider.CodeOf(err); code != provider.CodeTrimmed && code != provider.CodeNotFound {
			return got, false, err
		}
	}
	got, err = o.store.OperatorRecords(ctx)
	return got, true, err
}

// applyRecord applies one record. Versions only increase.
func (o *OperatorWatcher) applyRecord(r fleet.Record) {
	if m, ok, err := o.decoder.Manifest(r); ok {
		if err != nil {
			o.log.Error("cannot decode manifest, not activating it", "offset", r.Offset, "error", err)
			return
		}
		if previous := o.Manifest(); previous != nil && previous.Version >= m.Version {
			return
		}
		o.manifest.Store(m)
		o.log.Info("manifest activated", "version", m.Version, "queues", len(m.Queues), "teams", len(m.Teams))
		o.mu.Lock()
		onChange := o.onChange
		o.mu.Unlock()
		if onChange != nil {
			onChange(m)
		}
		return
	}
	if w, ok, err := o.decoder.Wave(r); ok {
		if err != nil {
			o.log.Error("cannot decode wave", "key", r.Key, "error", err)
			return
		}
		o.mu.Lock()
		defer o.mu.Unlock()
		if _, known := o.waves[w.Number]; !known {
			o.waves[w.Number] = PublishedWave{Wave: w, SeenAt: time.Now()}
			o.log.Info("wave published", "wave", w.Number, "vms", len(w.VMs), "within", w.MaxDuration, "max_down", w.MaxUnavailable)
		}
	}
}
