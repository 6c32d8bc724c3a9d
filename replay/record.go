package replay

import (
	"context"
	"encoding/json"

	"github.com/cockroachdb/errors"

	"github.com/anvilcourse/anvilcourse/provider"
)

// pageLimit is the number of payloads read from the log at a time.
const pageLimit = 512

// Record reads the streams from beginning to end and returns them as a trace.
// The outcomes are those of the current state machine. It fails with CodeTrimmed
// if the log no longer retains the beginning of a stream.
func Record(ctx context.Context, log provider.Log, header Header, streams []string) (Trace, error) {
	out := Trace{Header: header}
	player := NewPlayer()
	for _, stream := range streams {
		steps, err := recordStream(ctx, log, player, stream)
		if err != nil {
			return Trace{}, errors.Wrapf(err, "stream %s", stream)
		}
		out.Steps = append(out.Steps, steps...)
	}
	return out, nil
}

func recordStream(ctx context.Context, log provider.Log, player *Player, stream string) ([]Step, error) {
	var out []Step
	var from uint64
	for {
		page, err := log.Read(ctx, stream, from, pageLimit, 0)
		if err != nil {
			return nil, err
		}
		for i, payload := range page.Payloads {
			out = append(out, recordStep(player, stream, page.From+uint64(i), payload))
		}
		from = page.From + uint64(len(page.Payloads))
		if len(page.Payloads) == 0 || from >= page.NextOffset {
			return out, nil
		}
	}
}

// recordStep returns a step with the outcomes that the player computes.
func recordStep(player *Player, stream string, offset uint64, payload []byte) Step {
	raw := json.RawMessage(payload)
	if !json.Valid(payload) {
		raw, _ = json.Marshal(payload)
	}
	step := Step{Append: &Append{Stream: stream, Offset: offset, Payload: raw}}
	_, step.Append.Outcomes = player.Step(step)
	return step
}
