package scheduler

import (
	"fmt"
	"time"

	"github.com/anvilcourse/anvilcourse/fleet"
)

// wavePace is how much a wave may disturb the pools to end in time.
type wavePace int

const (
	// paceRelaxed waves leave pools alone while they are highly utilized.
	paceRelaxed wavePace = iota
	// pacePressed waves drain VMs of busy pools, too, and let short tasks there end.
	pacePressed
	// paceLate waves also interrupt short tasks, and take any part of a pool.
	paceLate
)

const (
	// urgentRounds is the number of rounds of maintenance before its end from which a
	// wave needs all its VMs.
	urgentRounds = 2
	// waveReserve is the fraction of the wave's time reserved for delays.
	waveReserve = 0.3
	// awayAfter is how long a VM has no worker that responds before a wave plans for its
	// absence: after a move, a worker takes less than this until its first status.
	awayAfter = statusFreshFor
)

// paceOf returns the wave's pace, planned backwards from its end: the last rounds of
// maintenance are left to the VMs that are away now, so that those within reach must be
// done before. It answers a rack that falls silent in the middle of a wave: if all VMs are
// left for the last round, those that come back shortly before the end share the wave's
// limit with the others, and one more delay makes both late.
func (s *Scheduler) paceOf(w *wave, now time.Time) wavePace {
	pending := s.pendingVMs(w)
	away := s.updateAway(w, now)
	left := w.def.MaxDuration - now.Sub(w.firstSeenAt) - time.Duration(float64(w.def.MaxDuration)*waveReserve)/2
	round := s.cfg.MaintenanceTime + drainTimeout
	switch {
	case time.Duration(w.rounds(pending))*round > left:
		return paceLate
	case away > 0 && time.Duration(w.rounds(pending-away)+w.rounds(away))*round > left:
		s.reportPressed(w, pending, away, now)
		return pacePressed
	default:
		return paceRelaxed
	}
}

// rounds returns how many times the wave's limit the VMs are.
func (w *wave) rounds(vms int) int { return (vms + w.def.MaxUnavailable - 1) / w.def.MaxUnavailable }

// reportPressed logs once that the wave plans for VMs that are away.
func (s *Scheduler) reportPressed(w *wave, pending, away int, now time.Time) {
	if w.pressed {
		return
	}
	w.pressed = true
	s.emit(Event{Kind: "wave.pressed", ID: fmt.Sprint(w.def.Number), Reason: fmt.Sprintf("%d VMs are left, %d of them away, %d may be down at once; %d ms are left",
		pending, away, w.def.MaxUnavailable, (w.def.MaxDuration - now.Sub(w.firstSeenAt)).Milliseconds())})
}

// updateAway counts the VMs of the wave that are still to be maintained and have been away
// for a while, and notes which are back.
func (s *Scheduler) updateAway(w *wave, now time.Time) int {
	n := 0
	for _, name := range w.def.VMs {
		v, listed := s.vms[name]
		since, wasAway := w.awaySince[name]
		switch {
		case !listed || w.startedVMs[name] || !s.isAway(v):
			if wasAway && now.Sub(since) >= awayAfter {
				w.wasAway[name] = true
			}
			delete(w.awaySince, name)
		case !wasAway:
			w.awaySince[name] = now
		case now.Sub(since) >= awayAfter:
			n++
		}
	}
	return n
}

// isAway reports whether the VM is down, or has no worker that responds. One that is moved is
// back before long.
func (s *Scheduler) isAway(v *vm) bool {
	if v.info.State != fleet.VMUp || v.operation != nil {
		return v.info.State == fleet.VMDown && v.operation == nil
	}
	w := s.workerOf(v)
	return !s.isSpare(v.info.Pool) && (w == nil || w.missedPolls > 0)
}

// mayDrain reports whether a wave of the pace may drain a VM with runs of the pool, of whose
// VMs some are down already.
func (s *Scheduler) mayDrain(pool string, down, size int, pace wavePace) bool {
	switch pace {
	case paceLate:
		return true
	case pacePressed:
		return down < max(1, int(float64(size)*maxPoolSharePressed))
	default:
		return down < max(1, int(float64(size)*maxPoolShareDown)) && !s.highlyUtilized(pool)
	}
}

// endsSoon reports whether the wave's time is over in a few rounds of maintenance.
func (s *Scheduler) endsSoon(w *wave, now time.Time) bool {
	left := w.def.MaxDuration - now.Sub(w.firstSeenAt)
	return left < urgentRounds*(s.cfg.MaintenanceTime+drainTimeout)
}
