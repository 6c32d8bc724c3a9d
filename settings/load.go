package settings

import (
	"bytes"
	"encoding/json"
	"os"

	"github.com/cockroachdb/errors"
)

// LoadEntry reads, completes and checks the settings of an entry.
func LoadEntry(path string) (Entry, error) {
	out := DefaultEntry()
	err := load(path, &out)
	return out, err
}

// LoadStandin reads, completes and checks the settings of the stand-in.
func LoadStandin(path string) (Standin, error) {
	out := DefaultStandin()
	err := load(path, &out)
	return out, err
}

// load decodes the file over the defaults in out and checks the result.
func load(path string, out any) error {
	raw, err := os.ReadFile(path)
	if err != nil {
		return errors.Wrap(err, "the settings cannot be read")
	}
	if err := Decode(raw, out); err != nil {
		return errors.Wrap(err, path)
	}
	return nil
}

// Decode decodes strict JSON over the values in out and checks the result
// against the validation tags of its type.
func Decode(raw []byte, out any) error {
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.DisallowUnknownFields()
	if err := dec.Decode(out); err != nil {
		return describeDecode(err)
	}
	if dec.More() {
		return errors.New("there is text after the JSON object; remove it")
	}
	return Check(out)
}

// describeDecode turns a decoding error into a sentence with the member's path.
func describeDecode(err error) error {
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) {
		return errors.Newf("%s: a value of type %s does not fit; it must be of type %s", typeErr.Field, typeErr.Value, typeErr.Type)
	}
	var syntaxErr *json.SyntaxError
	if errors.As(err, &syntaxErr) {
		return errors.Newf("byte %d: the JSON cannot be read: %v", syntaxErr.Offset, syntaxErr)
	}
	return errors.Newf("%v", err)
}
