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

// MaxFileBytes bounds a settings file.
const MaxFileBytes = 1 << 20

// Load reads and checks the settings in a file. A bad file gives an *Error with
// everything that is wrong with it.
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

// Parse reads and checks settings in TOML on top of Defaults. Bad settings give
// an *Error with everything that is wrong with them.
func Parse(data []byte) (Settings, error) {
	table := map[string]any{}
	if err := toml.Unmarshal(data, &table); err != nil {
		return Settings{}, &Error{Problems: []Problem{{Reason: syntaxReason(err)}}}
	}
	s := Defaults()
	d := decoder{}
	d.table("", table, reflect.ValueOf(&s).Elem())
	problems := append(d.problems, check(s)...)
	problems = keepFirstPerPath(problems)
	if len(problems) > 0 {
		return Settings{}, &Error{Problems: problems}
	}
	if !s.Advertise.Peers.IsValid() {
		s.Advertise.Peers = s.Listen.Peers
	}
	return s, nil
}

// Marshal returns s as TOML with a comment on each setting.
func Marshal(s Settings) ([]byte, error) { return toml.Marshal(s) }

func syntaxReason(err error) string {
	var e *toml.DecodeError
	if !errors.As(err, &e) {
		return err.Error()
	}
	row, column := e.Position()
	return fmt.Sprintf("line %d, column %d: %s", row, column, e.Error())
}

// keepFirstPerPath sorts problems by path and drops what a range check says of
// a value that could not be decoded at all.
func keepFirstPerPath(problems []Problem) []Problem {
	slices.SortStableFunc(problems, func(a, b Problem) int { return cmp.Compare(a.Path, b.Path) })
	return slices.CompactFunc(problems, func(a, b Problem) bool { return a.Path == b.Path })
}
