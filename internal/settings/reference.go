package settings

import (
	"encoding"
	"fmt"
	"reflect"
	"strings"
)

// Entry describes one setting.
type Entry struct {
	Path string
	// Default is the default as TOML; empty for settings without one.
	Default string
	Meaning string
}

// Reference describes all settings in the order of a settings file.
func Reference() []Entry {
	return entries("", reflect.ValueOf(Defaults()))
}

// Markdown returns the reference as a table.
func Markdown() string {
	var out strings.Builder
	out.WriteString("| Setting | Default | Meaning |\n| --- | --- | --- |\n")
	for _, e := range Reference() {
		fmt.Fprintf(&out, "| `%s` | `%s` | %s |\n", e.Path, e.Default, e.Meaning)
	}
	return strings.ReplaceAll(out.String(), "``", "none")
}

func entries(path string, table reflect.Value) []Entry {
	var list []Entry
	for i := range table.NumField() {
		field := table.Type().Field(i)
		at := join(path, field.Tag.Get("toml"))
		value := table.Field(i).Interface()
		if text, ok := value.(encoding.TextMarshaler); ok {
			list = append(list, Entry{Path: at, Default: quoted(text), Meaning: field.Tag.Get("comment")})
			continue
		}
		if field.Type.Kind() == reflect.Struct {
			list = append(list, entries(at, table.Field(i))...)
			continue
		}
		list = append(list, Entry{Path: at, Default: plainDefault(value), Meaning: field.Tag.Get("comment")})
	}
	return list
}

func quoted(value encoding.TextMarshaler) string {
	text, err := value.MarshalText()
	if err != nil || len(text) == 0 {
		return ""
	}
	return fmt.Sprintf("%q", text)
}

func plainDefault(value any) string {
	if s, ok := value.(string); ok {
		if s == "" {
			return ""
		}
		return fmt.Sprintf("%q", s)
	}
	return fmt.Sprint(value)
}
