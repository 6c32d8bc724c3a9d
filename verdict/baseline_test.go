package verdict

import "slices"

// byEvidence is the rule under test.
type byEvidence struct{ *Estimator }

func (b byEvidence) add(a Attempt)              { b.AddAttempt(a) }
func (b byEvidence) impossible(job string) bool { return b.IsImpossible(job) }

func (b byEvidence) suspects() []string {
	var out []string
	for _, s := range b.Suspects() {
		out = append(out, s.Target)
	}
	return out
}

// naiveFailures is the number of failures after which the naive rules judge.
const naiveFailures = 3

// byCount counts failures: a job that has failed 3 times is impossible, and a
// target that has failed 3 times in a row is bad.
type byCount struct {
	jobs    map[string]int
	targets map[string]int
}

func newByCount() *byCount {
	return &byCount{jobs: map[string]int{}, targets: map[string]int{}}
}

func (b *byCount) add(a Attempt) {
	if !a.Failed {
		b.targets[a.Target] = 0
		return
	}
	b.jobs[a.Job]++
	b.targets[a.Target]++
}

func (b *byCount) impossible(job string) bool { return b.jobs[job] >= naiveFailures }

func (b *byCount) suspects() []string {
	var out []string
	for target, failures := range b.targets {
		if failures >= naiveFailures {
			out = append(out, target)
		}
	}
	slices.Sort(out)
	return out
}

// byRate looks at each target's latest starts: a target is bad if at least
// half of them failed, and a job that failed on targets that are not is
// impossible.
type byRate struct {
	latest map[string][]bool
	jobs   map[string][]string
}

const rateWindow = 8

func newByRate() *byRate {
	return &byRate{latest: map[string][]bool{}, jobs: map[string][]string{}}
}

func (b *byRate) add(a Attempt) {
	latest := append(b.latest[a.Target], a.Failed)
	b.latest[a.Target] = latest[max(0, len(latest)-rateWindow):]
	if a.Failed {
		b.jobs[a.Job] = append(b.jobs[a.Job], a.Target)
	}
}

func (b *byRate) bad(target string) bool {
	failed := 0
	for _, f := range b.latest[target] {
		failed += one(f)
	}
	return len(b.latest[target]) >= rateWindow/2 && 2*failed >= len(b.latest[target])
}

func (b *byRate) impossible(job string) bool {
	elsewhere := 0
	for _, target := range b.jobs[job] {
		elsewhere += one(!b.bad(target))
	}
	return elsewhere >= naiveFailures
}

func (b *byRate) suspects() []string {
	var out []string
	for target := range b.latest {
		if b.bad(target) {
			out = append(out, target)
		}
	}
	slices.Sort(out)
	return out
}
