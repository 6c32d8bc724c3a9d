package load

import (
	"fmt"
	"io"
	"math"
	"text/tabwriter"
	"time"

	"github.com/anvilcourse/anvilcourse/shares"
)

// windowSteps is the length, 10 s, of a window over which the deviation from the
// fair share is measured.
const windowSteps = 10 * stepsPerSecond

// Report holds the measurements of a load.
type Report struct {
	Teams []TeamReport `json:"teams"`
	// Classes holds the classes with submitted work.
	Classes []ClassReport `json:"classes"`
	// Guarantees holds the results of the checks from the outside.
	Guarantees []Guarantee `json:"promises"`
	// Interrupted is set if the run was stopped early.
	Interrupted bool `json:"interrupted"`
	// UnfinishedJobs is the number of accepted jobs not seen to finish.
	UnfinishedJobs int `json:"open_jobs"`
	// Seconds is the time until the last answer.
	Seconds float64 `json:"seconds"`
	// Goodput is the number of answers in time per second.
	Goodput float64 `json:"goodput_per_second"`
	// MeanShareDeviation and MaxShareDeviation are the deviations of the used from
	// the entitled slot time over teams and windows of 10 s, relative to the team's
	// share, over the steps of 100 ms in which the offered load fills the capacity,
	// within seconds in which it does too. They are 0 if there is no such step.
	MeanShareDeviation float64 `json:"mean_distance"`
	MaxShareDeviation  float64 `json:"worst_distance"`
	// SaturatedSeconds is the total time of those steps.
	SaturatedSeconds float64 `json:"full_seconds"`
}

// TeamReport holds the results of one team's requests and orders. Latencies are
// those of answers. SlotsInUse covers jobs as well.
type TeamReport struct {
	Team     string  `json:"team"`
	Share    float64 `json:"share"`
	Sent     int     `json:"sent"`
	Answered int     `json:"answered"`
	NotRun   int     `json:"not_run"`
	Failed   int     `json:"failed"`
	Unknown  int     `json:"unknown"`
	// WrongAnswers counts the answers that did not belong to their request.
	WrongAnswers int     `json:"wrong"`
	P50MS        float64 `json:"p50_ms"`
	P99MS        float64 `json:"p99_ms"`
	// SlotsInUse is the mean number of slots in use, by second.
	SlotsInUse []float64 `json:"used"`
}

func (r *runner) report() *Report {
	out := &Report{Seconds: time.Since(r.start).Seconds()}
	total, seconds := 0, int(math.Ceil(out.Seconds))
	weights := 0.0
	for _, t := range r.teams {
		weights += t.weight
	}
	for _, t := range r.teams {
		line := t.report(seconds)
		line.Share = t.weight / weights
		total += line.Answered
		out.Teams = append(out.Teams, line)
	}
	out.Goodput = float64(total) / out.Seconds
	r.reportClasses(out)
	r.measureShareDeviation(out, int(r.cfg.Duration/step))
	return out
}

func (r *runner) reportClasses(out *Report) {
	for _, class := range classes {
		tally, ok := r.classes[class]
		if !ok {
			continue
		}
		if line := tally.report(class); line.Sent > 0 {
			out.Classes = append(out.Classes, line)
			out.UnfinishedJobs += line.Outcomes[unfinishedJob]
		}
	}
}

func (t *team) report(seconds int) TeamReport {
	ms := func(quantile float64) float64 { return float64(t.latency.ValueAtQuantile(quantile)) / 1e3 }
	out := TeamReport{
		Team: t.name, Answered: t.outcomes[answered], NotRun: t.outcomes[notRun], Failed: t.outcomes[failed],
		Unknown: t.outcomes[unknown], WrongAnswers: t.wrongAnswers, P50MS: ms(50), P99MS: ms(99),
	}
	out.Sent = out.Answered + out.NotRun + out.Failed + out.Unknown
	for second := range seconds {
		out.SlotsInUse = append(out.SlotsInUse, t.used.second(second))
	}
	return out
}

// measureShareDeviation measures how far the used slot time is from the entitled.
func (r *runner) measureShareDeviation(out *Report, steps int) {
	saturated := 0
	used, entitled := make([]float64, len(r.teams)), make([]float64, len(r.teams))
	count := 0.0
	for first := 0; first < steps; first += windowSteps {
		clear(used)
		clear(entitled)
		inWindow := 0
		for index := first; index < min(steps, first+windowSteps); index++ {
			entitledNow, ok := r.entitledSlots(index)
			if !ok || !r.isSaturated(index/stepsPerSecond) {
				continue
			}
			inWindow++
			for i, t := range r.teams {
				used[i] += t.used.slots(index)
				entitled[i] += entitledNow[i]
			}
		}
		saturated += inWindow
		if inWindow == 0 {
			continue
		}
		for i := range r.teams {
			d := math.Abs(used[i]-entitled[i]) / (out.Teams[i].Share * float64(r.cfg.Capacity*inWindow))
			out.MeanShareDeviation += d
			out.MaxShareDeviation = max(out.MaxShareDeviation, d)
			count++
		}
	}
	out.SaturatedSeconds = float64(saturated) / float64(stepsPerSecond)
	out.MeanShareDeviation /= max(1, count)
}

// entitledSlots returns the teams' entitlements in slots in a step, and whether
// the offered load fills the capacity.
func (r *runner) entitledSlots(index int) ([]float64, bool) {
	demands := make([]shares.TeamDemand, len(r.teams))
	offered := 0.0
	for i, t := range r.teams {
		demand := t.offered.slots(index)
		demands[i] = shares.TeamDemand{Weight: t.weight, Demand: max(demand, t.used.slots(index)), Limit: t.limit}
		offered += min(demand, t.limit)
	}
	return shares.Compute(float64(r.cfg.Capacity), demands), offered >= float64(r.cfg.Capacity)
}

// isSaturated reports whether the load offered in the second fills the capacity.
// Without this check, steps that random arrivals fill by chance would count in a
// steady load below the capacity.
func (r *runner) isSaturated(second int) bool {
	offered := 0.0
	for _, t := range r.teams {
		offered += min(t.offered.second(second), t.limit)
	}
	return offered >= float64(r.cfg.Capacity)
}

// Print writes the report as a table.
func (r *Report) Print(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "TEAM\tSHARE\tSENT\tANSWERED\tNOT RUN\tFAILED\tUNKNOWN\tWRONG\tP50 ms\tP99 ms\t")
	for _, t := range r.Teams {
		fmt.Fprintf(table, "%s\t%.0f %%\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t\n",
			t.Team, 100*t.Share, t.Sent, t.Answered, t.NotRun, t.Failed, t.Unknown, t.WrongAnswers, t.P50MS, t.P99MS)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	fmt.Fprintln(w)
	if err := r.printClasses(w); err != nil {
		return err
	}
	fmt.Fprintln(w)
	if err := r.printGuarantees(w); err != nil {
		return err
	}
	_, err := fmt.Fprintf(w, "\n%s\n", r.summary())
	return err
}

// summary is the last line of the report.
func (r *Report) summary() string {
	prefix := ""
	if r.Interrupted {
		prefix = "interrupted after "
	}
	return fmt.Sprintf("%s%.1f s, %.0f answers/s; distance from share in %.1f s when full: mean %.1f %%, worst %.1f %%",
		prefix, r.Seconds, r.Goodput, r.SaturatedSeconds, 100*r.MeanShareDeviation, 100*r.MaxShareDeviation)
}

// WrongAnswers returns the number of answers that did not belong to their request.
func (r *Report) WrongAnswers() int {
	wrong := 0
	for _, t := range r.Teams {
		wrong += t.WrongAnswers
	}
	return wrong
}
