package load

import (
	"bytes"
	"encoding/xml"
	"io"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestFactor_KeepsTheMean checks that bursts and lulls average to the mean.
func TestFactor_KeepsTheMean(t *testing.T) {
	for team := range 6 {
		period := basePeriod + time.Duration(team)*periodStep
		sum := 0.0
		for at := time.Duration(0); at < period; at += time.Millisecond {
			sum += factor(team, at)
		}
		require.InDelta(t, 1, sum/float64(period.Milliseconds()), 0.001)
	}
}

func TestRunTime_HasTheMean(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	var sum time.Duration
	for range 20000 {
		sum += runTime(rng, 50*time.Millisecond)
	}
	require.InEpsilon(t, 50*time.Millisecond, sum/20000, 0.02)
}

// TestDistance_ComparesUsedWithOwed checks the distance of a team that uses
// half of what it is owed while the other has the rest.
func TestDistance_ComparesUsedWithOwed(t *testing.T) {
	r := &runner{cfg: Config{Capacity: 8, Duration: 10 * time.Second}, start: time.Now()}
	for i, used := range []time.Duration{2 * time.Second, 6 * time.Second} {
		team := newTeam([]string{"a", "b"}[i], 1, 8)
		for second := range 10 {
			at := time.Duration(second) * time.Second
			for range 8 {
				team.sent(at, time.Second)
			}
			for range used / time.Second {
				team.ended(ending{outcome: answered, started: at, held: time.Second})
			}
		}
		r.teams = append(r.teams, team)
	}
	report := r.report()
	require.Equal(t, 10.0, report.SaturatedSeconds)
	require.InDelta(t, 0.5, report.MeanShareDeviation, 1e-9)
	require.InDelta(t, 0.5, report.MaxShareDeviation, 1e-9)
}

func TestReport_PlotIsXML(t *testing.T) {
	var out bytes.Buffer
	report := &Report{Teams: []TeamReport{{Team: "<a>", SlotsInUse: []float64{0, 3, 1}}, {Team: "b"}}}
	require.NoError(t, report.WriteSVG(&out))
	decoder := xml.NewDecoder(&out)
	for {
		_, err := decoder.Token()
		if err == io.EOF {
			return
		}
		require.NoError(t, err)
	}
}
