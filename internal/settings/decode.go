package settings

import (
	"encoding"
	"fmt"
	"reflect"
	"strings"
)

// decoder fills structs from TOML tables. It continues after an invalid value, so
// that one pass reports all problems.
type decoder struct {
	problems []Problem
}

func (d *decoder) addProblem(path, format string, args ...any) {
	d.problems = append(d.problems, Problem{Path: path, Reason: fmt.Sprintf(format, args...)})
}

func (d *decoder) table(path string, table map[string]any, to reflect.Value) {
	fields := map[string]reflect.Value{}
	for i := range to.NumField() {
		name, _, _ := strings.Cut(to.Type().Field(i).Tag.Get("toml"), ",")
		fields[name] = to.Field(i)
	}
	for name, value := range table {
		fieldPath := join(path, name)
		field, ok := fields[name]
		if !ok {
			d.addProblem(fieldPath, "unknown setting")
			continue
		}
		d.value(fieldPath, value, field)
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
			d.addProblem(path, "want a table, have %s", typeName(value))
			return
		}
		d.table(path, table, to)
	case reflect.Float64:
		if n, ok := value.(int64); ok {
			value = float64(n)
		}
		d.scalar(path, "a number", value, to)
	case reflect.Int:
		if n, ok := value.(int64); ok {
			value = int(n)
		}
		d.scalar(path, "a whole number", value, to)
	case reflect.String:
		d.scalar(path, "a string", value, to)
	case reflect.Bool:
		d.scalar(path, "true or false", value, to)
	default:
		d.addProblem(path, "settings of type %s are not supported", to.Type())
	}
}

// scalar sets to if value has its type; want describes that type in the problem.
func (d *decoder) scalar(path, want string, value any, to reflect.Value) {
	from := reflect.ValueOf(value)
	if from.Type() != to.Type() {
		d.addProblem(path, "want %s, have %s", want, typeName(value))
		return
	}
	to.Set(from)
}

func (d *decoder) text(path string, value any, to encoding.TextUnmarshaler) {
	s, ok := value.(string)
	if !ok {
		d.addProblem(path, "want a string, have %s", typeName(value))
		return
	}
	if err := to.UnmarshalText([]byte(s)); err != nil {
		d.addProblem(path, "%v", err)
	}
}

func typeName(value any) string {
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
