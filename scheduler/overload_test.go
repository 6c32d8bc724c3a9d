package scheduler

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/anvilcourse/anvilcourse/fleet"
)

// overload is a load of short jobs that exceeds the pool for some seconds: a queue's
// turn with a surge of one team. Estimates are off by up to half for a whole job, and
// the tasks of a step differ by a third.
type overload struct {
	workers   int
	cores     int64
	perSecond float64
	length    time.Duration
	// teamOf draws a job's team.
	teamOf func(r *rand.Rand) string
}

// overloadJob is a job of the load with its real duration.
type overloadJob struct {
	sub      *fleet.Submission
	team     string
	arrived  time.Time
	deadline time.Time
	finished time.Time
	work     float64
}

// outcome counts the jobs by how they ended.
type outcome struct{ onTime, late, total int }

func (o outcome) onTimeShare() float64 { return float64(o.onTime) / float64(o.total) }

// play runs the load and returns its jobs once the last has ended or the time is over.
func (l overload) play(t testing.TB, seed uint64) []*overloadJob {
	t.Helper()
	r := rand.New(rand.NewPCG(seed, 1))
	f := newTestFleet(t)
	for i := range l.workers {
		f.addWorker("w-"+jobID(i), testPool, l.cores)
	}
	lengths := map[fleet.TaskID]time.Duration{}
	f.runTime = func(id fleet.TaskID) time.Duration { return lengths[id] }
	f.advance(100 * time.Millisecond)
	var jobs []*overloadJob
	start, due := f.now, 0.0
	for f.now.Sub(start) < l.length+6*time.Second {
		if f.now.Sub(start) < l.length {
			for due += l.perSecond * 0.05; due >= 1; due-- {
				jobs = append(jobs, l.submit(f, r, len(jobs), lengths))
			}
		}
		f.advance(50 * time.Millisecond)
		for _, j := range jobs {
			if j.finished.IsZero() && f.s.jobs[j.sub.ID].finished {
				j.finished = f.now
			}
		}
	}
	return jobs
}

// submit draws one job and submits it.
func (l overload) submit(f *testFleet, r *rand.Rand, number int, lengths map[fleet.TaskID]time.Duration) *overloadJob {
	id := jobID(number)
	j := &overloadJob{team: l.teamOf(r), arrived: f.now}
	var steps []fleet.Step
	chain := 0.0
	stepCount := 1 + r.IntN(2)
	mean := min(2, 0.65*(0.5+r.ExpFloat64()*0.5))
	estimateError := 0.5 + r.Float64()
	for step := range stepCount {
		count := 2 + r.IntN(13)
		def := fleet.Step{Count: count, EstimateMillis: int64(1e3 * mean * estimateError), Need: fleet.Resources{MilliCPU: 1000 + int64(r.IntN(3000))}}
		if step > 0 {
			def.DependsOn = []int{step - 1}
		}
		longest := 0.0
		for i := range count {
			length := mean * (0.7 + 0.6*r.Float64())
			longest = max(longest, length)
			lengths[fleet.TaskID{Job: id, Step: step, Index: i}] = time.Duration(length * float64(time.Second))
			j.work += length * float64(def.Need.MilliCPU) / 1e3
		}
		chain += longest
		steps = append(steps, def)
	}
	j.sub = f.newJob(id, steps...)
	j.sub.Team = j.team
	q := testManifest().Queues[0]
	j.deadline = f.now.Add(time.Duration(q.Stretch*chain*float64(time.Second)) + q.LatencyObjective)
	f.s.Submit(j.sub, f.now)
	return j
}

func outcomes(jobs []*overloadJob) (all outcome, byTeam map[string]outcome) {
	byTeam = map[string]outcome{}
	for _, j := range jobs {
		o := byTeam[j.team]
		for _, to := range []*outcome{&all, &o} {
			to.total++
			switch {
			case j.finished.IsZero():
			case !j.finished.After(j.deadline):
				to.onTime++
			default:
				to.late++
			}
		}
		byTeam[j.team] = o
	}
	return all, byTeam
}

// TestOverload_ServesWhatFits plays a queue's turn that asks for 1.2 and 1.7 times what
// its pool can do. Most of the jobs that fit in the pool must be on time: with no margin
// over the estimates, each job starts when its slack is used up, and then takes longer.
func TestOverload_ServesWhatFits(t *testing.T) {
	const (
		workers = 20
		cores   = 16
		length  = 8 * time.Second
		// wanted is the least share of the jobs that fit which must be on time.
		wanted = 0.8
	)
	for _, perSecond := range []float64{20, 28} {
		var all outcome
		work := 0.0
		for seed := range uint64(4) {
			jobs := overload{workers: workers, cores: cores, perSecond: perSecond, length: length, teamOf: func(*rand.Rand) string { return "" }}.play(t, seed)
			o, _ := outcomes(jobs)
			all.onTime += o.onTime
			all.total += o.total
			for _, j := range jobs {
				work += j.work / 4
			}
		}
		fits := workers * cores * length.Seconds() / work
		t.Logf("%v jobs a second, %.2f of them fit: %.2f on time", perSecond, fits, all.onTimeShare())
		require.Less(t, fits, 1.0)
		require.Greater(t, all.onTimeShare(), wanted*fits)
	}
}

// TestOverload_SurgeOfOneTeam plays a surge of one team, which sends as much as the pool
// can do while nine others send seven tenths of that. The others ask for less than their
// shares, and must be served nearly as well as without the surge.
func TestOverload_SurgeOfOneTeam(t *testing.T) {
	const (
		quietTeams = 9
		surging    = "surging"
		perSecond  = 11.5
	)
	quietTeam := func(r *rand.Rand) string { return "team-" + jobID(r.IntN(quietTeams)) }
	withSurge := func(r *rand.Rand) string {
		if r.Float64() < 1/1.7 {
			return surging
		}
		return quietTeam(r)
	}
	play := func(perSecond float64, teamOf func(*rand.Rand) string) (quiet, surge outcome) {
		for seed := range uint64(4) {
			_, byTeam := outcomes(overload{workers: 20, cores: 16, perSecond: perSecond, length: 8 * time.Second, teamOf: teamOf}.play(t, seed))
			for team, o := range byTeam {
				to := &quiet
				if team == surging {
					to = &surge
				}
				to.onTime += o.onTime
				to.total += o.total
			}
		}
		return quiet, surge
	}
	alone, _ := play(perSecond, quietTeam)
	beside, surge := play(1.7/0.7*perSecond, withSurge)
	t.Logf("on time: %.2f of the quiet teams' jobs alone, %.2f beside a surge, %.2f of the surge",
		alone.onTimeShare(), beside.onTimeShare(), surge.onTimeShare())
	require.Greater(t, beside.onTimeShare(), 0.85*alone.onTimeShare(), "the surge of one team delays the others")
	require.Positive(t, surge.onTime, "room that the others leave is not used")
}

// TestComputeShares divides a full pool by max-min fairness.
func TestComputeShares(t *testing.T) {
	small, middle, large := &team{name: "small", weight: 1}, &team{name: "middle", weight: 1}, &team{name: "large", weight: 2}
	demands := func(s, m, l int64) []teamDemand {
		return []teamDemand{{large, l}, {small, s}, {middle, m}}
	}
	require.Nil(t, computeShares(100, demands(30, 30, 40)).millicores, "a pool that is not full needs no shares")
	require.Equal(t, map[*team]int64{small: 25, middle: 25, large: 50}, computeShares(100, demands(90, 90, 90)).millicores)
	require.Equal(t, map[*team]int64{small: 10, middle: 30, large: 60}, computeShares(100, demands(10, 90, 90)).millicores)
	require.Equal(t, map[*team]int64{small: 60, middle: 30, large: 10}, computeShares(100, demands(90, 30, 10)).millicores)
	withoutTeam := computeShares(100, []teamDemand{{nil, 90}, {small, 90}}).millicores
	require.Equal(t, map[*team]int64{nil: 50, small: 50}, withoutTeam)
}
