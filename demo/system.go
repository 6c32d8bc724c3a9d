package demo

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/fx"

	"github.com/anvilcourse/anvilcourse/api"
	"github.com/anvilcourse/anvilcourse/entry"
	"github.com/anvilcourse/anvilcourse/freeport"
	"github.com/anvilcourse/anvilcourse/provider"
	"github.com/anvilcourse/anvilcourse/settings"
	"github.com/anvilcourse/anvilcourse/standin"
	"github.com/anvilcourse/anvilcourse/statemachine"
)

const (
	operatorKey  = "demo-operator-key"
	readyTimeout = 10 * time.Second
	readyPoll    = 20 * time.Millisecond
	// listLag is short so that a wave finishes in an interactive run.
	listLag = 200 * time.Millisecond
)

// system is the platform's stand-in and the entries, all in this process.
type system struct {
	standin *standin.Server
	apps    []*fx.App
	entries []settings.Entry
	http    *http.Client
}

// startSystem starts the stand-in and the entries and waits until all are
// ready.
func startSystem(ctx context.Context, entries int, s settings.Standin) (*system, error) {
	s.Listen = "127.0.0.1:0"
	s.ListLag = settings.Duration(listLag)
	server, err := standin.Start(s)
	if err != nil {
		return nil, errors.Wrap(err, "start the stand-in")
	}
	sys := &system{standin: server, http: provider.NewHTTPClient()}
	for i := range entries {
		if err := sys.startEntry(ctx, i); err != nil {
			sys.close()
			return nil, err
		}
	}
	if err := sys.awaitReady(ctx); err != nil {
		sys.close()
		return nil, err
	}
	return sys, nil
}

func (s *system) startEntry(ctx context.Context, index int) error {
	addresses, err := freeport.Addresses(3)
	if err != nil {
		return err
	}
	cfg := settings.DefaultEntry()
	cfg.Name = fmt.Sprintf("entry-%d", index+1)
	cfg.AvailabilityZone = fmt.Sprintf("az-%d", index%4+1)
	cfg.Callers, cfg.Operators, cfg.Peers = addresses[0], addresses[1], addresses[2]
	cfg.Platform = s.standin.URL()
	cfg.OperatorKeyHashes = []string{statemachine.HashKey(operatorKey)}
	cfg.LogLevel = "error"
	app := entry.New(cfg)
	if err := app.Start(ctx); err != nil {
		return errors.Wrapf(err, "start %s", cfg.Name)
	}
	s.apps = append(s.apps, app)
	s.entries = append(s.entries, cfg)
	return nil
}

func (s *system) awaitReady(ctx context.Context) error {
	return waitUntil(ctx, readyTimeout, "the entries to be ready", func() bool {
		for _, e := range s.entries {
			resp, err := s.http.Get("http://" + e.Operators + "/readyz")
			if err != nil {
				return false
			}
			_ = resp.Body.Close()
			if resp.StatusCode != http.StatusOK {
				return false
			}
		}
		return true
	})
}

// waitUntil polls done until it returns true, the timeout expires or ctx is done.
func waitUntil(ctx context.Context, timeout time.Duration, what string, done func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for !done() {
		select {
		case <-ctx.Done():
			return errors.Newf("timed out waiting for %s", what)
		case <-time.After(readyPoll):
		}
	}
	return nil
}

func (s *system) operatorClient(index int) *api.Client {
	return api.NewClient("http://"+s.entries[index].Operators, operatorKey, s.http)
}

func (s *system) clientFor(index int, key string) *api.Client {
	return api.NewClient("http://"+s.entries[index].Callers, key, s.http)
}

// close stops the entries gracefully and then the stand-in.
func (s *system) close() {
	done := make(chan struct{})
	for _, app := range s.apps {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), readyTimeout)
			defer cancel()
			_ = app.Stop(ctx)
			done <- struct{}{}
		}()
	}
	for range s.apps {
		<-done
	}
	_ = s.standin.Close()
}
