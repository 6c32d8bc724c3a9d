package demo

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/anvilcourse/anvilcourse/api"
	"github.com/anvilcourse/anvilcourse/examples"
	"github.com/anvilcourse/anvilcourse/settings"
	"github.com/anvilcourse/anvilcourse/statemachine"
)

const (
	entryCount       = 3
	requestsPerRound = 100
	parallelPerQueue = 24
	withdrawBound    = 3 * time.Second
)

// Run runs the demonstration and reports what was measured. An error means
// that it could not be carried out.
func Run(ctx context.Context) (*Report, error) {
	started := time.Now()
	standinSettings, err := examples.Standin(examples.Users[0])
	if err != nil {
		return nil, err
	}
	sys, err := startSystem(ctx, entryCount, standinSettings)
	if err != nil {
		return nil, err
	}
	defer sys.close()
	report := &Report{}
	if err := sys.runUsers(ctx, report); err != nil {
		return nil, err
	}
	report.DurationMS = time.Since(started).Milliseconds()
	return report, nil
}

// runUsers publishes both catalogs, runs their work and checks the promises.
func (s *system) runUsers(ctx context.Context, report *Report) error {
	limits := make(map[string]int)
	var keys []api.KeyGranted
	var queues, orderQueues, jobQueues []string
	for _, user := range examples.Users {
		catalog, err := examples.Catalog(user)
		if err != nil {
			return err
		}
		if err := s.publish(ctx, catalog); err != nil {
			return err
		}
		for _, w := range catalog.Workspaces {
			limits[w.Team] = w.Limit
		}
		key, err := s.operator(0).GrantKey(ctx, api.KeyGrantRequest{Workspace: catalog.Workspaces[0].Name, Label: "demo"})
		if err != nil {
			return err
		}
		keys = append(keys, key)
		queues = append(queues, catalog.Workspaces[0].Name+"."+catalog.Template.Queues[0].Name)
		orderQueues = append(orderQueues, catalog.Workspaces[0].Name+"."+queueOf(catalog.Template, statemachine.ClassOrder))
		jobQueues = append(jobQueues, catalog.Workspaces[0].Name+"."+queueOf(catalog.Template, statemachine.ClassJob))
	}
	if err := s.awaitCapacity(ctx, limits); err != nil {
		return err
	}
	wave := make(chan error, 1)
	waveEnded := make(chan struct{})
	go func() {
		wave <- s.runWave(ctx, report)
		close(waveEnded)
	}()
	orderTasks := s.runOrders(ctx, keys[1], orderQueues[1], report)
	s.runJobs(ctx, keys[1], jobQueues[1], report)
	wrong := s.runLoad(ctx, keys, queues, waveEnded, report)
	if err := <-wave; err != nil {
		return err
	}
	report.check("every caller got the whole answer to its own request", wrong == 0, "%d wrong answers", wrong)
	s.checkWithdrawal(ctx, keys[0], queues[0], report)
	s.checkRecord(limits, orderTasks, report)
	return nil
}

// queueOf returns the name of the template's first queue of the class.
func queueOf(t statemachine.Template, class statemachine.Class) string {
	for _, q := range t.Queues {
		if q.Class == class {
			return q.Name
		}
	}
	return ""
}

// publish applies a catalog through the first entry. Pools that exist stay.
func (s *system) publish(ctx context.Context, catalog settings.Catalog) error {
	client := s.operator(0)
	for _, pool := range catalog.Pools {
		_, err := client.SetPool(ctx, pool, 0)
		var problem *api.Problem
		if err != nil && !(errors.As(err, &problem) && problem.Title == string(statemachine.ReasonVersion)) {
			return errors.Wrapf(err, "pool %s", pool.Name)
		}
	}
	if _, err := client.SetTemplate(ctx, catalog.Template, 0); err != nil {
		return errors.Wrap(err, "template")
	}
	for _, workspace := range catalog.Workspaces {
		if _, err := client.SetWorkspace(ctx, workspace, 0); err != nil {
			return errors.Wrapf(err, "workspace %s", workspace.Name)
		}
	}
	return nil
}

// awaitCapacity waits until the VMs are registered and the limits allotted.
func (s *system) awaitCapacity(ctx context.Context, limits map[string]int) error {
	return poll(ctx, readyTimeout, "VMs and allotments", func() bool {
		allotted := make(map[string]int)
		for i := range s.entries {
			status, err := s.operator(i).Status(ctx)
			if err != nil || status.Pools["pool-1"] == 0 || status.Pools["spare"] == 0 {
				return false
			}
			for team, usage := range status.Teams {
				allotted[team] += usage.Allotted
			}
		}
		for team, limit := range limits {
			if allotted[team] < limit {
				return false
			}
		}
		return true
	})
}

// runLoad submits each queue's requests through all entries, round by round
// until the end, and returns the number of wrong answers.
func (s *system) runLoad(ctx context.Context, keys []api.KeyGranted, queues []string, end <-chan struct{}, report *Report) int {
	t := newTally()
	var wg sync.WaitGroup
	for q, queue := range queues {
		var clients []*api.Client
		for i := range s.entries {
			clients = append(clients, s.caller(i, keys[q].Key))
		}
		wg.Go(func() {
			for !ended(end) {
				submitMany(ctx, clients, queue, requestsPerRound, parallelPerQueue, t)
			}
		})
	}
	wg.Wait()
	report.Answered, report.NotRun, report.Failed, report.Unknown = t.answered, t.notRun, t.failed, t.unknown
	report.P50US = t.latency.ValueAtQuantile(50)
	report.P99US = t.latency.ValueAtQuantile(99)
	return t.wrong
}

func ended(end <-chan struct{}) bool {
	select {
	case <-end:
		return true
	default:
		return false
	}
}

// checkWithdrawal withdraws a key and measures until all entries refuse it.
func (s *system) checkWithdrawal(ctx context.Context, key api.KeyGranted, queue string, report *Report) {
	start := time.Now()
	_, err := s.operator(0).WithdrawKey(ctx, key.Hash)
	if err != nil {
		report.check("a withdrawn key stops working", false, "%v", err)
		return
	}
	err = poll(ctx, withdrawBound, "the refusal of the key", func() bool {
		for i := range s.entries {
			_, err := s.caller(i, key.Key).Submit(ctx, queue, []byte(`{}`), time.Second, "")
			var problem *api.Problem
			if !errors.As(err, &problem) || problem.Status != 401 {
				return false
			}
		}
		return true
	})
	report.WithdrawnMS = time.Since(start).Milliseconds()
	report.check("a withdrawn key stops working within 3 s", err == nil, "%d ms", report.WithdrawnMS)
}

// checkRecord holds the limits and the orders against the workers' own record.
func (s *system) checkRecord(limits map[string]int, orderTasks []string, report *Report) {
	record := s.standin.ExecutionRecord()
	over := 0
	for team, limit := range limits {
		if record.MaxRunning[team] > limit {
			over++
		}
	}
	report.check("no team ran more than its upper limit", over == 0, "%d teams over", over)
	twice := 0
	for _, task := range orderTasks {
		if record.Starts[task] != 1 {
			twice++
		}
	}
	report.check("every order ran exactly once", twice == 0, "%d did not", twice)
	report.check("no request was cut", record.InterruptedTasks == 0, "%d cut", record.InterruptedTasks)
}
