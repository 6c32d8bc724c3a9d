package settings

import (
	"encoding/json"
	"fmt"
	"io"
	"reflect"
	"strings"
)

// WriteReference writes a Markdown table of the members of the settings type
// of v, with the values in v as defaults.
func WriteReference(w io.Writer, v any) error {
	if _, err := fmt.Fprint(w, "| member | type | default | allowed | meaning |\n|---|---|---|---|---|\n"); err != nil {
		return err
	}
	return writeMembers(w, "", reflect.ValueOf(v))
}

func writeMembers(w io.Writer, prefix string, v reflect.Value) error {
	for i := range v.NumField() {
		field := v.Type().Field(i)
		path := prefix + jsonName(field)
		_, err := fmt.Fprintf(w, "| `%s` | %s | %s | %s | %s |\n",
			path, typeName(field.Type), defaultText(v.Field(i)), ruleText(field.Tag.Get("validate")), field.Tag.Get("help"))
		if err != nil {
			return err
		}
		if err := writeNested(w, path, field.Type); err != nil {
			return err
		}
	}
	return nil
}

// writeNested writes the members of a list's objects.
func writeNested(w io.Writer, path string, t reflect.Type) error {
	if t.Kind() != reflect.Slice || t.Elem().Kind() != reflect.Struct {
		return nil
	}
	return writeMembers(w, path+"[].", reflect.New(t.Elem()).Elem())
}

func typeName(t reflect.Type) string {
	if t == reflect.TypeFor[Duration]() {
		return "time span"
	}
	switch t.Kind() {
	case reflect.String:
		return "text"
	case reflect.Int, reflect.Int64, reflect.Uint64:
		return "whole number"
	case reflect.Bool:
		return "true or false"
	case reflect.Slice:
		return "list of " + typeName(t.Elem())
	default:
		return "object"
	}
}

// defaultText is the default as it would be written, or a dash without one.
func defaultText(v reflect.Value) string {
	if v.IsZero() {
		return "-"
	}
	raw, err := json.Marshal(v.Interface())
	if err != nil || v.Kind() == reflect.Slice {
		return "-"
	}
	return "`" + string(raw) + "`"
}

// ruleText describes validation tags in words.
func ruleText(tags string) string {
	if tags == "" {
		return "any"
	}
	var out []string
	for tag := range strings.SplitSeq(tags, ",") {
		name, param, _ := strings.Cut(tag, "=")
		if words := ruleWords(name, param); words != "" {
			out = append(out, words)
		}
	}
	return strings.Join(out, ", ")
}

func ruleWords(name, param string) string {
	switch name {
	case "min":
		return "at least " + param
	case "max":
		return "at most " + param
	case "len":
		return param + " characters"
	case "oneof":
		return "one of " + param
	case "ip_port":
		return "IP number and port"
	case "ip_url":
		return "http URL with IP number and port"
	case "dive":
		return "each"
	default:
		return name
	}
}
