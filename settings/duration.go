package settings

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
)

// Duration is a time span written as text, such as "250ms" or "2s".
type Duration time.Duration

// Duration returns the span as a time.Duration.
func (d Duration) Duration() time.Duration {
	return time.Duration(d)
}

// UnmarshalJSON reads the text form.
func (d *Duration) UnmarshalJSON(raw []byte) error {
	var text string
	if err := json.Unmarshal(raw, &text); err != nil {
		return errors.Newf("a time span must be text such as \"250ms\", not %s", raw)
	}
	span, err := time.ParseDuration(text)
	if err != nil {
		return errors.Newf("%q is not a time span; write one such as \"250ms\" or \"2s\"", text)
	}
	*d = Duration(span)
	return nil
}

// MarshalJSON writes the text form.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}
