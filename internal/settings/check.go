package settings

import (
	"errors"
	"fmt"
	"net/netip"
	"reflect"
	"strings"
	"sync"
	"time"

	"github.com/go-playground/validator/v10"

	"heatherrelay/internal/key"
)

// fieldChecks returns the validator of the validate tags, which names fields by their
// toml tags.
var fieldChecks = sync.OnceValue(newFieldChecks)

func newFieldChecks() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string {
		name, _, _ := strings.Cut(f.Tag.Get("toml"), ",")
		return name
	})
	v.RegisterCustomTypeFunc(func(field reflect.Value) any {
		return field.Interface().(Duration).Duration
	}, Duration{})
	v.RegisterCustomTypeFunc(func(field reflect.Value) any {
		if a := field.Interface().(netip.AddrPort); a.IsValid() {
			return a.String()
		}
		return ""
	}, netip.AddrPort{})
	mustRegister(v, "address", func(l validator.FieldLevel) bool { return l.Field().String() != "" })
	mustRegister(v, "port", func(l validator.FieldLevel) bool {
		a, err := netip.ParseAddrPort(l.Field().String())
		return err == nil && a.Port() != 0 && !a.Addr().IsUnspecified()
	})
	return v
}

func mustRegister(v *validator.Validate, tag string, f validator.Func) {
	if err := v.RegisterValidation(tag, f, true); err != nil {
		panic(err)
	}
}

// check returns the problems of decoded settings: of each value by itself, and of
// values that do not fit together.
func check(s Settings) []Problem {
	var problems []Problem
	var failed validator.ValidationErrors
	if err := fieldChecks().Struct(s); errors.As(err, &failed) {
		for _, f := range failed {
			_, path, _ := strings.Cut(f.Namespace(), ".")
			problems = append(problems, Problem{Path: path, Reason: reason(f)})
		}
	}
	problems = append(problems, checkLease(s.Lease)...)
	problems = append(problems, checkLimits(s.Limits)...)
	problems = append(problems, checkAdvertise(s)...)
	problems = append(problems, checkTLS(s.TLS)...)
	if _, err := key.ParseOperatorKeys(s.Administration.Keys); err != nil {
		problems = append(problems, Problem{Path: "administration.keys", Reason: err.Error()})
	}
	return problems
}

// reason returns the message for a failed field check.
func reason(f validator.FieldError) string {
	switch f.Tag() {
	case "required":
		return "required"
	case "address":
		return "required: an IP address and port such as 127.0.0.1:8080"
	case "port":
		return "want an address that can be dialled, with a port"
	case "min":
		return fmt.Sprintf("%s is too small, at least %s", formatValue(f.Value()), f.Param())
	case "max":
		if f.Kind() == reflect.String {
			return fmt.Sprintf("longer than %s bytes", f.Param())
		}
		return fmt.Sprintf("%s is too large, at most %s", formatValue(f.Value()), f.Param())
	case "gt":
		return fmt.Sprintf("%s is too small, must be above %s", formatValue(f.Value()), f.Param())
	case "lt":
		return fmt.Sprintf("%s is too large, must be below %s", formatValue(f.Value()), f.Param())
	case "oneof":
		return fmt.Sprintf("%q is none of: %s", f.Value(), f.Param())
	case "excludesall":
		return "must hold neither slashes nor spaces"
	default:
		return fmt.Sprintf("fails the check %s %s", f.Tag(), f.Param())
	}
}

func formatValue(value any) string {
	if d, ok := value.(Duration); ok {
		return d.String()
	}
	return fmt.Sprint(value)
}

func checkLease(l Lease) []Problem {
	if minTerm := l.RenewEvery.Duration + l.Margin.Duration; minTerm >= l.Term.Duration {
		return []Problem{{
			Path:   "lease.term",
			Reason: fmt.Sprintf("%s must be longer than renew_every and margin together, %s", l.Term, minTerm.Round(time.Millisecond)),
		}}
	}
	return nil
}

func checkLimits(l Limits) []Problem {
	if l.DefaultMaxTokens > l.MaxTokens {
		return []Problem{{
			Path:   "limits.default_max_tokens",
			Reason: fmt.Sprintf("%d is above limits.max_tokens, %d", l.DefaultMaxTokens, l.MaxTokens),
		}}
	}
	return nil
}

// checkAdvertise requires an address that peers can connect to: advertise.peers, or
// listen.peers if advertise.peers is not set.
func checkAdvertise(s Settings) []Problem {
	if s.Advertise.Peers.IsValid() {
		if s.Advertise.Peers.Addr().IsUnspecified() {
			return []Problem{{Path: "advertise.peers", Reason: "want an address that can be dialled"}}
		}
		return nil
	}
	if s.Listen.Peers.IsValid() && s.Listen.Peers.Addr().IsUnspecified() {
		return []Problem{{Path: "advertise.peers", Reason: "required, since listen.peers is on all addresses"}}
	}
	return nil
}

// checkTLS requires all files of a section unless it is plain, and none if it is.
func checkTLS(t TLS) []Problem {
	var problems []Problem
	files := []struct{ path, file string }{
		{"tls.callers.certificate", t.Callers.Certificate},
		{"tls.callers.key", t.Callers.Key},
		{"tls.peers.certificate", t.Peers.Certificate},
		{"tls.peers.key", t.Peers.Key},
		{"tls.peers.ca", t.Peers.CA},
	}
	for _, f := range files {
		plain := t.Callers.Plain
		if strings.HasPrefix(f.path, "tls.peers") {
			plain = t.Peers.Plain
		}
		switch {
		case plain && f.file != "":
			problems = append(problems, Problem{Path: f.path, Reason: "must be empty when plain is true"})
		case !plain && f.file == "":
			problems = append(problems, Problem{Path: f.path, Reason: "required unless plain is true"})
		}
	}
	return problems
}
