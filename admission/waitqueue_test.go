package admission

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var t0 = time.Unix(1e9, 0)

func acceptAny(*Waiter) bool { return true }

func newTestQueue(running map[string]int) *WaitQueue {
	q := NewWaitQueue(Config{MaxWaitingPerTeam: 2, MaxWait: time.Second, RunTimeQuantile: 0.99, Running: func(team string) int { return running[team] }})
	q.SetEntryShare(ComputeEntryShare(4, []Entitlement{{"a", 3, 9}, {"b", 1, 9}}, []Load{{"a", 0, 9}, {"b", 0, 9}}, nil))
	return q
}

func request(team string, timeout time.Duration) Request {
	return Request{Team: team, Queue: team + ".q", Deadline: t0.Add(timeout)}
}

func TestWaitQueue_RefusesEarly(t *testing.T) {
	cases := []struct {
		name    string
		ran     time.Duration
		timeout time.Duration
		ahead   int
		want    Reason
	}{
		{"no estimate yet", 0, time.Second, 0, ""},
		{"time enough", 10 * time.Millisecond, time.Second, 1, ""},
		{"run time over the timeout", 400 * time.Millisecond, 300 * time.Millisecond, 0, ReasonTooLate},
		{"wait and run time over the timeout", 400 * time.Millisecond, 600 * time.Millisecond, 1, ReasonTooLate},
		{"wait over the maximum", 5 * time.Second, time.Minute, 0, ReasonTooLate},
		{"queue full", time.Millisecond, time.Second, 2, ReasonQueueFull},
		{"caller timed out", 0, 0, 0, ReasonTooLate},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			q := newTestQueue(nil)
			for range c.ahead {
				_, refusal := q.Enqueue(t0, request("a", time.Minute))
				require.Nil(t, refusal)
			}
			if c.ran > 0 {
				q.RunTimes(t0, "a.q").Observe(t0, c.ran)
			}
			w, refusal := q.Enqueue(t0, request("a", c.timeout))
			if c.want == "" {
				require.NotNil(t, w)
				return
			}
			require.Equal(t, c.want, refusal.Reason)
		})
	}
}

func TestWaitQueue_ServesTheTeamFurthestUnderItsShare(t *testing.T) {
	running := map[string]int{"a": 2, "b": 1}
	q := newTestQueue(running)
	for _, team := range []string{"b", "b", "a", "a"} {
		_, refusal := q.Enqueue(t0, request(team, time.Second))
		require.Nil(t, refusal)
	}
	var got []string
	for range 4 {
		w := q.Next(t0, acceptAny)
		running[w.Team]++
		got = append(got, w.Team)
	}
	require.Equal(t, []string{"a", "a", "b", "b"}, got)
	require.Nil(t, q.Next(t0, acceptAny))
}

func TestWaitQueue_AssignsNoSlotToALateWaiter(t *testing.T) {
	q := newTestQueue(nil)
	late, _ := q.Enqueue(t0, request("a", 300*time.Millisecond))
	good, _ := q.Enqueue(t0, request("a", 900*time.Millisecond))
	q.RunTimes(t0, "a.q").Observe(t0, 200*time.Millisecond)
	require.Same(t, good, q.Next(t0.Add(150*time.Millisecond), acceptAny))
	require.Equal(t, ReasonTooLate, (<-late.Ready).Refusal.Reason)
	require.False(t, q.Cancel(late))
	require.Zero(t, q.Waiting())
}

func TestWaitQueue_SkipsATeamThatCannotUseTheSlot(t *testing.T) {
	q := newTestQueue(nil)
	_, _ = q.Enqueue(t0, request("a", time.Second))
	b, _ := q.Enqueue(t0, request("b", time.Second))
	require.Same(t, b, q.Next(t0, func(w *Waiter) bool { return w.Team == "b" }))
	require.Equal(t, 1, q.Waiting())
}

func TestRunTimes_ExpireAfterTwoWindows(t *testing.T) {
	r := NewRunTimes(t0)
	for i := range 100 {
		r.Observe(t0, time.Duration(i+1)*time.Millisecond)
	}
	require.InEpsilon(t, 99*time.Millisecond, r.Quantile(t0, 0.99), 0.13)
	require.Equal(t, 50500*time.Microsecond, r.Mean(t0, 0.99))
	require.NotZero(t, r.Quantile(t0.Add(windowLength), 0.99))
	require.Zero(t, r.Quantile(t0.Add(3*windowLength), 0.99))
}
