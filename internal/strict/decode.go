package strict

import (
	"encoding"
	"errors"
	"fmt"
	"maps"
	"math"
	"reflect"
	"slices"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
)

// Decode decodes TOML into the struct that into points to. It continues after a
// problem and returns all of them; fields without a problem are set. Fields are
// named by their toml tags, the fields of an embedded struct without a tag belong to
// the outer struct, and a time.Duration is written as text, such as "30s".
func Decode(data []byte, into any) Problems {
	var tree map[string]any
	if err := toml.Unmarshal(data, &tree); err != nil {
		return Problems{syntaxProblem(err)}
	}
	d := &decoder{}
	d.table("", tree, reflect.ValueOf(into).Elem())
	return d.problems
}

// syntaxProblem converts a TOML syntax error to a problem, with its position.
func syntaxProblem(err error) Problem {
	var e *toml.DecodeError
	if errors.As(err, &e) {
		row, column := e.Position()
		return Problem{Reason: fmt.Sprintf("line %d, column %d: %s", row, column, strings.TrimPrefix(e.Error(), "toml: "))}
	}
	return Problem{Reason: strings.TrimPrefix(err.Error(), "toml: ")}
}

// decoder fills values from parsed TOML and collects the problems.
type decoder struct {
	problems Problems
}

// fieldsByName returns the settable fields of a struct by their toml names.
func fieldsByName(v reflect.Value) map[string]reflect.Value {
	fields := map[string]reflect.Value{}
	for i := range v.NumField() {
		f := v.Type().Field(i)
		if f.Anonymous && f.Type.Kind() == reflect.Struct && f.Tag.Get("toml") == "" {
			maps.Copy(fields, fieldsByName(v.Field(i)))
			continue
		}
		if name := fieldName(f); name != "" && f.IsExported() {
			fields[name] = v.Field(i)
		}
	}
	return fields
}

// fieldName returns the toml name of a field, or "" if it has none or is excluded
// with "-".
func fieldName(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("toml"), ",")
	if name == "-" {
		return ""
	}
	return name
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func (d *decoder) table(path string, tree map[string]any, v reflect.Value) {
	fields := fieldsByName(v)
	for _, name := range slices.Sorted(maps.Keys(tree)) {
		field, ok := fields[name]
		if !ok {
			d.problems.Add(join(path, name), "unknown field")
			continue
		}
		d.value(join(path, name), tree[name], field)
	}
}

func (d *decoder) value(path string, raw any, v reflect.Value) {
	if text, ok := v.Addr().Interface().(encoding.TextUnmarshaler); ok {
		d.text(path, raw, text)
		return
	}
	if v.Type() == reflect.TypeFor[time.Duration]() {
		d.duration(path, raw, v)
		return
	}
	switch v.Kind() {
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		d.value(path, raw, v.Elem())
	case reflect.Struct:
		d.nested(path, raw, v)
	case reflect.Slice:
		d.list(path, raw, v)
	case reflect.Map:
		d.mapEntries(path, raw, v)
	default:
		d.scalar(path, raw, v)
	}
}

func (d *decoder) nested(path string, raw any, v reflect.Value) {
	tree, ok := raw.(map[string]any)
	if !ok {
		d.wrongType(path, "a table", raw)
		return
	}
	d.table(path, tree, v)
}

func (d *decoder) list(path string, raw any, v reflect.Value) {
	items, ok := raw.([]any)
	if !ok {
		d.wrongType(path, "a list", raw)
		return
	}
	v.Set(reflect.MakeSlice(v.Type(), len(items), len(items)))
	for i, item := range items {
		d.value(fmt.Sprintf("%s[%d]", path, i), item, v.Index(i))
	}
}

func (d *decoder) mapEntries(path string, raw any, v reflect.Value) {
	tree, ok := raw.(map[string]any)
	if !ok {
		d.wrongType(path, "a table", raw)
		return
	}
	v.Set(reflect.MakeMap(v.Type()))
	for _, name := range slices.Sorted(maps.Keys(tree)) {
		element := reflect.New(v.Type().Elem()).Elem()
		d.value(join(path, name), tree[name], element)
		v.SetMapIndex(reflect.ValueOf(name).Convert(v.Type().Key()), element)
	}
}

func (d *decoder) scalar(path string, raw any, v reflect.Value) {
	switch v.Kind() {
	case reflect.String:
		if s, ok := raw.(string); ok {
			v.SetString(s)
			return
		}
		d.wrongType(path, "a string", raw)
	case reflect.Bool:
		if b, ok := raw.(bool); ok {
			v.SetBool(b)
			return
		}
		d.wrongType(path, "true or false", raw)
	case reflect.Float64, reflect.Float32:
		d.float(path, raw, v)
	default:
		d.integer(path, raw, v)
	}
}

func (d *decoder) float(path string, raw any, v reflect.Value) {
	switch n := raw.(type) {
	case int64:
		v.SetFloat(float64(n))
	case float64:
		if math.IsNaN(n) || math.IsInf(n, 0) {
			d.problems.Add(path, "must be finite")
			return
		}
		v.SetFloat(n)
	default:
		d.wrongType(path, "a number", raw)
	}
}

func (d *decoder) integer(path string, raw any, v reflect.Value) {
	n, ok := raw.(int64)
	if !ok {
		d.wrongType(path, "an integer", raw)
		return
	}
	switch {
	case v.CanInt() && !v.OverflowInt(n):
		v.SetInt(n)
	case v.CanUint() && n >= 0 && !v.OverflowUint(uint64(n)):
		v.SetUint(uint64(n))
	default:
		d.problems.Add(path, fmt.Sprintf("%d is out of range", n))
	}
}

func (d *decoder) text(path string, raw any, into encoding.TextUnmarshaler) {
	s, ok := raw.(string)
	if !ok {
		d.wrongType(path, "a string", raw)
		return
	}
	if err := into.UnmarshalText([]byte(s)); err != nil {
		d.problems.Add(path, strings.TrimPrefix(err.Error(), "time: "))
	}
}

func (d *decoder) duration(path string, raw any, v reflect.Value) {
	s, ok := raw.(string)
	if !ok {
		d.wrongType(path, `a duration in quotes, such as "30s"`, raw)
		return
	}
	parsed, err := time.ParseDuration(s)
	if err != nil {
		d.problems.Add(path, strings.TrimPrefix(err.Error(), "time: "))
		return
	}
	v.SetInt(int64(parsed))
}

func (d *decoder) wrongType(path, want string, raw any) {
	d.problems.Add(path, fmt.Sprintf("want %s, have %s", want, typeName(raw)))
}

func typeName(raw any) string {
	switch raw.(type) {
	case string:
		return "a string"
	case int64:
		return "an integer"
	case float64:
		return "a number"
	case bool:
		return "true or false"
	case []any:
		return "a list"
	case map[string]any:
		return "a table"
	}
	return fmt.Sprintf("%T", raw)
}
