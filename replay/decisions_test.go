package replay

import (
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/anvilcourse/anvilcourse/provider"
	"github.com/anvilcourse/anvilcourse/statemachine"
)

// tracePaths returns every recorded trace.
func tracePaths(t *testing.T) []string {
	t.Helper()
	paths, err := filepath.Glob("../testdata/traces/*.jsonl")
	require.NoError(t, err)
	require.NotEmpty(t, paths)
	return paths
}

// TestTraces_CoverUsersAndPromises checks that each user has a trace of each
// kind of decision.
func TestTraces_CoverUsersAndPromises(t *testing.T) {
	kinds := make(map[string]map[string]bool)
	for _, path := range tracePaths(t) {
		trace := readTrace(t, path)
		if kinds[trace.Header.User] == nil {
			kinds[trace.Header.User] = make(map[string]bool)
		}
		for _, step := range trace.Steps {
			kinds[trace.Header.User][kindOf(step)] = true
		}
	}
	for _, user := range []string{"apitt", "pakhtun"} {
		for _, kind := range []string{"append", "order", "job", "plan", "line"} {
			require.True(t, kinds[user][kind], "%s has no trace with a step of kind %s", user, kind)
		}
	}
}

func kindOf(s Step) string {
	switch {
	case s.Request != nil:
		return "request"
	case s.Order != nil:
		return "order"
	case s.Job != nil:
		return "job"
	case s.Plan != nil:
		return "plan"
	case s.Queue != nil:
		return "line"
	default:
		return "append"
	}
}

// alteration changes the event of a step, not its stated outcome, and reports
// whether it could.
type alteration func(*Step) bool

// alterations are one for each kind of event whose outcome depends on it.
var alterations = map[string]alteration{
	"a payload of an offset that was applied before": func(s *Step) bool {
		if s.Append == nil || s.Append.Offset == 0 || len(s.Append.Outcomes) == 0 {
			return false
		}
		s.Append.Offset = 0
		return true
	},
	"a payload of a writer that never joined": func(s *Step) bool {
		if s.Append == nil || len(s.Append.Outcomes) == 0 || s.Append.Outcomes[0] != Applied {
			return false
		}
		batch, err := statemachine.DecodeBatch(s.Append.Payload)
		if err != nil || batch.Records[0].Command.Kind() != statemachine.KindAllotmentAdjust {
			return false
		}
		batch.Writer = "stranger"
		raw, err := statemachine.EncodeBatch(batch)
		s.Append.Payload = raw
		return err == nil
	},
	"a VM that shows the end of an order": func(s *Step) bool {
		if s.Order == nil || s.Order.Outcome != InDoubt || len(s.Order.List.Tasks) == 0 || s.Order.List.Tasks[0].State != provider.TaskRunning {
			return false
		}
		s.Order.List.Tasks[0].State = provider.TaskSucceeded
		return true
	},
	"a VM that shows the end of a job": func(s *Step) bool {
		if s.Job == nil || s.Job.Outcome != InDoubt || len(s.Job.List.Tasks) == 0 || s.Job.List.Tasks[0].State != provider.TaskRunning {
			return false
		}
		s.Job.List.Tasks[0].State = provider.TaskFailed
		return true
	},
	"a VM list that was not read for a minute": func(s *Step) bool {
		if s.Plan == nil || len(s.Plan.Outcomes) == 0 {
			return false
		}
		s.Plan.ListedAtMS -= 60_000
		return true
	},
	"a caller without patience": func(s *Step) bool {
		if s.Queue == nil || s.Queue.Enqueue == nil || s.Queue.Outcomes[0] != Queued {
			return false
		}
		s.Queue.Enqueue.TimeoutMS = 1
		return true
	},
	"a key that was not shown": func(s *Step) bool {
		if s.Request == nil || s.Request.Outcome != Admitted || s.Request.KeyHash == "" {
			return false
		}
		s.Request.KeyHash = ""
		return true
	},
}

// TestPlay_AlteredEventFails alters one event of a trace at a time and checks
// that the replay names its step.
func TestPlay_AlteredEventFails(t *testing.T) {
	for name, alter := range alterations {
		t.Run(name, func(t *testing.T) {
			altered := 0
			for _, path := range tracePaths(t) {
				trace := readTrace(t, path)
				for i := range trace.Steps {
					if !alter(&trace.Steps[i]) {
						continue
					}
					altered++
					deviations := Play(trace)
					require.NotEmpty(t, deviations, "%s, step %d", path, i+1)
					require.Equal(t, i+1, deviations[0].Step)
					break
				}
			}
			require.Positive(t, altered)
		})
	}
}
