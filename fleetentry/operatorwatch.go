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

// operatorWait is how long a read of the operator's records waits. A change
// ends it at once; connections that went silent cost at most this long.
const operatorWait = 700 * time.Millisecond

// OperatorWatcher follows what the operator publishes.
type OperatorWatcher struct {
	store   Store
	decoder Decoder
	log     hclog.Logger

	manifest atomic.Pointer[fleet.Manifest]
	mu       sync.Mutex
	waves    map[int64]PublishedWave
	next     int64
	onChange func(*fleet.Manifest)
	lost     bool
}

// PublishedWave is a wave and when this entry learned of it.
type PublishedWave struct {
	Wave    fleet.Wave
	SeenAt  time.Time
	Replays int
}

// NewOperatorWatcher returns a watch that has read nothing.
func NewOperatorWatcher(store Store, decoder Decoder, log hclog.Logger) *OperatorWatcher {
	return &OperatorWatcher{store: store, decoder: decoder, log: log.Named("operator"), waves: map[int64]PublishedWave{}, next: -1}
}

// Manifest returns the manifest in force, or nil before one is known.
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

// OnChange sets what runs after a new manifest is in force; nil for nothing.
func (o *OperatorWatcher) OnChange(do func(*fleet.Manifest)) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.onChange = do
}

// Run follows the records until the context ends.
func (o *OperatorWatcher) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := o.step(ctx); err != nil {
			if !o.lost {
				o.log.Warn("lost the operator's records", "error", err)
			}
			o.lost = true
			sleep(ctx, readRetry)
			continue
		}
		if o.lost {
			o.log.Info("the operator's records are back")
		}
		o.lost = false
	}
}

func (o *OperatorWatcher) step(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, operatorWait+readTimeout)
	defer cancel()
	var got fleet.Records
	var err error
	if o.next < 0 {
		got, err = o.store.OperatorRecords(ctx)
	} else {
		got, err = o.store.TailOperator(ctx, o.next, operatorWait)
		if code := provider.CodeOf(err); code == provider.CodeTrimmed || code == provider.CodeNotFound {
			got, err = o.store.OperatorRecords(ctx)
		}
	}
	if err != nil {
		return err
	}
	for _, r := range got.Items {
		o.take(r)
	}
	o.next = got.Next
	if o.Manifest() == nil {
		sleep(ctx, readRetry)
	}
	return nil
}

// take applies one record. Versions only rise.
func (o *OperatorWatcher) take(r fleet.Record) {
	if m, is, err := o.decoder.Manifest(r); is {
		if err != nil {
			o.log.Error("the manifest cannot be read and is not in force", "offset", r.Offset, "error", err)
			return
		}
		if before := o.Manifest(); before != nil && before.Version >= m.Version {
			return
		}
		o.manifest.Store(m)
		o.log.Info("manifest in force", "version", m.Version, "queues", len(m.Queues), "teams", len(m.Teams))
		o.mu.Lock()
		onChange := o.onChange
		o.mu.Unlock()
		if onChange != nil {
			onChange(m)
		}
		return
	}
	if w, is, err := o.decoder.Wave(r); is {
		if err != nil {
			o.log.Error("a wave cannot be read", "key", r.Key, "error", err)
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
