package fleetentry

import (
	"context"
	"time"

	"github.com/anvilcourse/anvilcourse/fleet"
)

// Streams of the product in the store.
const (
	// ledgerStream holds the leader's records; see package ledger.
	ledgerStream = "ledger"
	// claimStream holds tokensPerTerm records per leadership claim; the offset after each is
	// one of the claim's fencing tokens.
	claimStream = "claims"
	// leaderWriter is the fenced writer of the ledger.
	leaderWriter = "owner"
)

// Store persists records, and reads those of the operator and of workers.
type Store interface {
	Append(ctx context.Context, stream string, records []fleet.Record, options fleet.AppendOptions) (first, end int64, err error)
	Tail(ctx context.Context, stream string, from int64, wait time.Duration) (fleet.Records, error)
	Newest(ctx context.Context, stream string) (fleet.Records, error)
	OperatorRecords(ctx context.Context) (fleet.Records, error)
	TailOperator(ctx context.Context, from int64, wait time.Duration) (fleet.Records, error)
	WorkerRecords(ctx context.Context) (fleet.Records, error)
	TailWorkers(ctx context.Context, from int64, wait time.Duration) (fleet.Records, error)
	PublishWave(ctx context.Context, number int64, completed bool) error
}

// Workers sends run requests to workers and polls them.
type Workers interface {
	Start(ctx context.Context, to fleet.Endpoint, request fleet.StartRequest) (clock int64, err error)
	Stop(ctx context.Context, to fleet.Endpoint, task fleet.TaskID, attempt int, token int64) (clock int64, err error)
	Throttle(ctx context.Context, to fleet.Endpoint, task fleet.TaskID, attempt, percent int, token int64) (clock int64, err error)
	Poll(ctx context.Context, to fleet.Endpoint, request fleet.PollRequest, wait time.Duration) (fleet.WorkerStatus, error)
}

// VMs lists the fleet's VMs and requests moves and maintenance.
type VMs interface {
	List(ctx context.Context) ([]fleet.VM, error)
	Move(ctx context.Context, vm, pool string, token int64) error
	Maintain(ctx context.Context, vm string, wave, token int64) error
}

// Advice returns the workers that a queue's policy allows.
type Advice interface {
	Request(ctx context.Context, step string, workers []string) ([]fleet.Ticket, time.Duration, error)
}

// Decoder decodes the records of the operator and of the workers.
type Decoder interface {
	Manifest(r fleet.Record) (m *fleet.Manifest, ok bool, err error)
	Wave(r fleet.Record) (w fleet.Wave, ok bool, err error)
	Evacuation(r fleet.Record) (e fleet.Evacuation, ok bool, err error)
	Worker(r fleet.Record) (fleet.Worker, error)
	Submission(raw []byte) (fleet.Submission, error)
}
