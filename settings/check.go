package settings

import (
	"fmt"
	"net/netip"
	"net/url"
	"reflect"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/go-playground/validator/v10"
)

var validate = newValidator()

func newValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(jsonName)
	mustRegister(v, "ip_port", func(fl validator.FieldLevel) bool { return isIPPort(fl.Field().String()) })
	mustRegister(v, "ip_url", func(fl validator.FieldLevel) bool { return isIPURL(fl.Field().String()) })
	return v
}

func mustRegister(v *validator.Validate, tag string, fn validator.Func) {
	if err := v.RegisterValidation(tag, fn); err != nil {
		panic(err)
	}
}

func jsonName(field reflect.StructField) string {
	name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
	return name
}

func isIPPort(s string) bool {
	_, err := netip.ParseAddrPort(s)
	return err == nil
}

func isIPURL(s string) bool {
	u, err := url.Parse(s)
	if err != nil || u.Scheme != "http" {
		return false
	}
	return isIPPort(u.Host)
}

// Check validates a value against its validation tags. The error names every
// fault, one per line.
func Check(v any) error {
	err := validate.Struct(v)
	if err == nil {
		return nil
	}
	var faults validator.ValidationErrors
	if !errors.As(err, &faults) {
		return err
	}
	lines := make([]string, 0, len(faults))
	for _, fault := range faults {
		lines = append(lines, describe(fault))
	}
	return errors.Newf("%s", strings.Join(lines, "\n"))
}

// describe names a fault by its path and by what would be right.
func describe(fault validator.FieldError) string {
	_, path, _ := strings.Cut(fault.Namespace(), ".")
	return fmt.Sprintf("%s: %s", path, expectation(fault))
}

func expectation(fault validator.FieldError) string {
	switch fault.Tag() {
	case "required":
		return "is missing; give a value"
	case "ip_port":
		return fmt.Sprintf("%q must be an IP number and a port, such as 127.0.0.1:7000", fault.Value())
	case "ip_url":
		return fmt.Sprintf("%q must be an http URL with an IP number and a port, such as http://127.0.0.1:7000", fault.Value())
	case "min", "gte":
		return fmt.Sprintf("%v must be at least %s", fault.Value(), fault.Param())
	case "max", "lte":
		return fmt.Sprintf("%v must be at most %s", fault.Value(), fault.Param())
	case "oneof":
		return fmt.Sprintf("%q must be one of: %s", fault.Value(), fault.Param())
	case "len", "hexadecimal":
		return fmt.Sprintf("%q must be %s hexadecimal digits", fault.Value(), "64")
	default:
		return fmt.Sprintf("%v does not satisfy %s %s", fault.Value(), fault.Tag(), fault.Param())
	}
}
