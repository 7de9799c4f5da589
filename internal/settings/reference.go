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
	// Default is the default value in TOML; empty for settings without a default.
	Default string
	Meaning string
}

// Reference returns the entries of all settings, in the order of a settings file.
func Reference() []Entry {
	return entriesOf("", reflect.ValueOf(Defaults()))
}

// Markdown returns the reference as a Markdown table.
func Markdown() string {
	var out strings.Builder
	out.WriteString("| Setting | Default | Meaning |\n| --- | --- | --- |\n")
	for _, e := range Reference() {
		fmt.Fprintf(&out, "| `%s` | `%s` | %s |\n", e.Path, e.Default, e.Meaning)
	}
	return strings.ReplaceAll(out.String(), "``", "none")
}

// entriesOf returns the entries of a struct whose dotted name is path, including those
// of nested structs.
func entriesOf(path string, table reflect.Value) []Entry {
	var list []Entry
	for i := range table.NumField() {
		field := table.Type().Field(i)
		fieldPath := join(path, field.Tag.Get("toml"))
		value := table.Field(i).Interface()
		if text, ok := value.(encoding.TextMarshaler); ok {
			list = append(list, Entry{Path: fieldPath, Default: textDefault(text), Meaning: field.Tag.Get("comment")})
			continue
		}
		if field.Type.Kind() == reflect.Struct {
			list = append(list, entriesOf(fieldPath, table.Field(i))...)
			continue
		}
		list = append(list, Entry{Path: fieldPath, Default: plainDefault(value), Meaning: field.Tag.Get("comment")})
	}
	return list
}

func textDefault(value encoding.TextMarshaler) string {
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
