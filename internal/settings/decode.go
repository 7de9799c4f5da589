package settings

import (
	"encoding"
	"fmt"
	"reflect"
	"strings"
)

// decoder fills structs from TOML tables and goes on after a bad value, so that
// one pass names every problem.
type decoder struct {
	problems []Problem
}

func (d *decoder) report(path, format string, args ...any) {
	d.problems = append(d.problems, Problem{Path: path, Reason: fmt.Sprintf(format, args...)})
}

func (d *decoder) table(path string, table map[string]any, to reflect.Value) {
	fields := map[string]reflect.Value{}
	for i := range to.NumField() {
		name, _, _ := strings.Cut(to.Type().Field(i).Tag.Get("toml"), ",")
		fields[name] = to.Field(i)
	}
	for name, value := range table {
		at := join(path, name)
		field, ok := fields[name]
		if !ok {
			d.report(at, "unknown setting")
			continue
		}
		d.value(at, value, field)
	}
}

func (d *decoder) value(path string, value any, to reflect.Value) {
	if text, ok := to.Addr().Interface().(encoding.TextUnmarshaler); ok {
		d.text(path, value, text)
		return
	}
	switch to.Kind() {
	case reflect.Struct:
		table, ok := value.(map[string]any)
		if !ok {
			d.report(path, "want a table, have %s", kindOf(value))
			return
		}
		d.table(path, table, to)
	case reflect.Float64:
		if n, ok := value.(int64); ok {
			value = float64(n)
		}
		d.plain(path, "a number", value, to)
	case reflect.Int:
		if n, ok := value.(int64); ok {
			value = int(n)
		}
		d.plain(path, "a whole number", value, to)
	case reflect.String:
		d.plain(path, "a string", value, to)
	case reflect.Bool:
		d.plain(path, "true or false", value, to)
	default:
		d.report(path, "settings of type %s are not supported", to.Type())
	}
}

func (d *decoder) plain(path, want string, value any, to reflect.Value) {
	from := reflect.ValueOf(value)
	if from.Type() != to.Type() {
		d.report(path, "want %s, have %s", want, kindOf(value))
		return
	}
	to.Set(from)
}

func (d *decoder) text(path string, value any, to encoding.TextUnmarshaler) {
	s, ok := value.(string)
	if !ok {
		d.report(path, "want a string, have %s", kindOf(value))
		return
	}
	if err := to.UnmarshalText([]byte(s)); err != nil {
		d.report(path, "%v", err)
	}
}

func kindOf(value any) string {
	switch value.(type) {
	case string:
		return "a string"
	case int, int64:
		return "a whole number"
	case float64:
		return "a number"
	case bool:
		return "true or false"
	case map[string]any:
		return "a table"
	case []any:
		return "a list"
	default:
		return "a date or time"
	}
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
