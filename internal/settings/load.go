package settings

import (
	"cmp"
	"errors"
	"fmt"
	"os"
	"reflect"
	"slices"

	"github.com/pelletier/go-toml/v2"
)

// MaxFileBytes is the maximum size of a settings file.
const MaxFileBytes = 1 << 20

// Load reads and validates a settings file. If the file is invalid or cannot be read,
// the error is an *Error with all problems.
func Load(path string) (Settings, error) {
	info, err := os.Stat(path)
	if err != nil {
		return Settings{}, &Error{Problems: []Problem{{Reason: err.Error()}}}
	}
	if info.Size() > MaxFileBytes {
		return Settings{}, &Error{Problems: []Problem{{Reason: fmt.Sprintf("%s is larger than %d bytes", path, MaxFileBytes)}}}
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, &Error{Problems: []Problem{{Reason: err.Error()}}}
	}
	return Parse(data)
}

// Parse decodes TOML on top of Defaults and validates the result. If the settings are
// invalid, the error is an *Error with all problems.
func Parse(data []byte) (Settings, error) {
	table := map[string]any{}
	if err := toml.Unmarshal(data, &table); err != nil {
		return Settings{}, &Error{Problems: []Problem{{Reason: syntaxReason(err)}}}
	}
	s := Defaults()
	d := decoder{}
	d.table("", table, reflect.ValueOf(&s).Elem())
	problems := append(d.problems, check(s)...)
	problems = firstPerPath(problems)
	if len(problems) > 0 {
		return Settings{}, &Error{Problems: problems}
	}
	if !s.Advertise.Peers.IsValid() {
		s.Advertise.Peers = s.Listen.Peers
	}
	return s, nil
}

// Marshal returns s as TOML, with a comment for each setting.
func Marshal(s Settings) ([]byte, error) { return toml.Marshal(s) }

// syntaxReason returns the message for a TOML syntax error, with its position.
func syntaxReason(err error) string {
	var e *toml.DecodeError
	if !errors.As(err, &e) {
		return err.Error()
	}
	row, column := e.Position()
	return fmt.Sprintf("line %d, column %d: %s", row, column, e.Error())
}

// firstPerPath sorts problems by path and keeps the first of each path: if a value
// could not be decoded, the problem from its range check is dropped.
func firstPerPath(problems []Problem) []Problem {
	slices.SortStableFunc(problems, func(a, b Problem) int { return cmp.Compare(a.Path, b.Path) })
	return slices.CompactFunc(problems, func(a, b Problem) bool { return a.Path == b.Path })
}
