package load

import (
	"fmt"
	"io"
	"math"
	"text/tabwriter"
	"time"

	"github.com/anvilcourse/anvilcourse/shares"
)

// windowSteps is the length of a window in which the distance from share is
// measured, 10 s.
const windowSteps = 10 * stepsPerSecond

// Report is what a load measured.
type Report struct {
	Teams []TeamReport `json:"teams"`
	// Classes holds the classes of which anything was sent.
	Classes []ClassReport `json:"classes"`
	// Guarantees tells what held, as seen from outside.
	Guarantees []Guarantee `json:"promises"`
	// Interrupted is set if the run was ended before its time.
	Interrupted bool `json:"interrupted"`
	// UnfinishedJobs is the number of accepted jobs whose end was not seen.
	UnfinishedJobs int `json:"open_jobs"`
	// Seconds is the time until the last answer.
	Seconds float64 `json:"seconds"`
	// Goodput is the number of answers in time a second.
	Goodput float64 `json:"goodput_per_second"`
	// MeanShareDeviation and WorstDistance are those from the owed slot time over
	// teams and windows of 10 s, as a part of the team's share, over the steps
	// of 100 ms in which the offered load fills the capacity, in seconds in which
	// it does. They are 0 without one.
	MeanShareDeviation float64 `json:"mean_distance"`
	MaxShareDeviation  float64 `json:"worst_distance"`
	// SaturatedSeconds is the time of those steps in seconds.
	SaturatedSeconds float64 `json:"full_seconds"`
}

// TeamReport is one team's part of the requests and orders. Latencies are
// those of answers. Used covers jobs as well.
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
	r.distance(out, int(r.cfg.Duration/step))
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
			out.UnfinishedJobs += line.Outcomes[openJob]
		}
	}
}

func (t *team) report(seconds int) TeamReport {
	ms := func(quantile float64) float64 { return float64(t.latency.ValueAtQuantile(quantile)) / 1e3 }
	out := TeamReport{
		Team: t.name, Answered: t.outcomes[answered], NotRun: t.outcomes[notRun], Failed: t.outcomes[failed],
		Unknown: t.outcomes[unknown], WrongAnswers: t.wrong, P50MS: ms(50), P99MS: ms(99),
	}
	out.Sent = out.Answered + out.NotRun + out.Failed + out.Unknown
	for second := range seconds {
		out.SlotsInUse = append(out.SlotsInUse, t.used.second(second))
	}
	return out
}

// distance measures how far the used slot time is from the owed one.
func (r *runner) distance(out *Report, steps int) {
	full := 0
	used, owed := make([]float64, len(r.teams)), make([]float64, len(r.teams))
	count := 0.0
	for first := 0; first < steps; first += windowSteps {
		clear(used)
		clear(owed)
		inWindow := 0
		for index := first; index < min(steps, first+windowSteps); index++ {
			owedNow, ok := r.owed(index)
			if !ok || !r.fullSecond(index/stepsPerSecond) {
				continue
			}
			inWindow++
			for i, t := range r.teams {
				used[i] += t.used.slots(index)
				owed[i] += owedNow[i]
			}
		}
		full += inWindow
		if inWindow == 0 {
			continue
		}
		for i := range r.teams {
			d := math.Abs(used[i]-owed[i]) / (out.Teams[i].Share * float64(r.cfg.Capacity*inWindow))
			out.MeanShareDeviation += d
			out.MaxShareDeviation = max(out.MaxShareDeviation, d)
			count++
		}
	}
	out.SaturatedSeconds = float64(full) / float64(stepsPerSecond)
	out.MeanShareDeviation /= max(1, count)
}

// owed returns the slots that the teams are owed in a step, and whether the
// offered load fills the capacity.
func (r *runner) owed(index int) ([]float64, bool) {
	claims := make([]shares.TeamDemand, len(r.teams))
	offered := 0.0
	for i, t := range r.teams {
		demand := t.offered.slots(index)
		claims[i] = shares.TeamDemand{Weight: t.weight, Demand: max(demand, t.used.slots(index)), Limit: t.limit}
		offered += min(demand, t.limit)
	}
	return shares.Compute(float64(r.cfg.Capacity), claims), offered >= float64(r.cfg.Capacity)
}

// fullSecond reports whether the load offered in the second fills the capacity.
// Without it, random arrivals that fill a few steps of a steady load below the
// capacity would count.
func (r *runner) fullSecond(second int) bool {
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
	if err := r.printPromises(w); err != nil {
		return err
	}
	_, err := fmt.Fprintf(w, "\n%s\n", r.summary())
	return err
}

// summary is the last line of the report.
func (r *Report) summary() string {
	end := ""
	if r.Interrupted {
		end = "interrupted after "
	}
	return fmt.Sprintf("%s%.1f s, %.0f answers/s; distance from share in %.1f s when full: mean %.1f %%, worst %.1f %%",
		end, r.Seconds, r.Goodput, r.SaturatedSeconds, 100*r.MeanShareDeviation, 100*r.MaxShareDeviation)
}

// WrongAnswers returns the number of answers that did not belong to their request.
func (r *Report) WrongAnswers() int {
	wrong := 0
	for _, t := range r.Teams {
		wrong += t.WrongAnswers
	}
	return wrong
}
