package strict

import (
	"errors"
	"fmt"
	"reflect"
	"regexp"
	"strings"
	"sync"

	"github.com/go-playground/validator/v10"
)

// namePattern matches the values that the validate tag "name" accepts.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,98}$`)

// validation returns the shared validator, which names fields by their toml tags.
var validation = sync.OnceValue(func() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(fieldName)
	err := v.RegisterValidation("name", func(f validator.FieldLevel) bool {
		return f.Field().Kind() == reflect.String && namePattern.MatchString(f.Field().String())
	})
	if err != nil {
		panic(err)
	}
	return v
})

// Validate checks the validate tags of the struct that value points to, and returns
// all problems. In addition to the library's tags it supports "name": 1 to 99
// letters, digits, dots, underscores and hyphens, starting with a letter or digit.
func Validate(value any) Problems {
	err := validation().Struct(value)
	var invalid validator.ValidationErrors
	if !errors.As(err, &invalid) {
		if err != nil {
			return Problems{{Reason: err.Error()}}
		}
		return nil
	}
	var problems Problems
	for _, f := range invalid {
		_, path, _ := strings.Cut(f.Namespace(), ".")
		problems.Add(path, reason(f))
	}
	return problems
}

// reason returns the message for a value that fails a tag.
func reason(f validator.FieldError) string {
	switch f.Tag() {
	case "required":
		return "is missing or empty"
	case "name":
		return fmt.Sprintf("%q is no name: letters, digits, '.', '_' and '-', a letter or digit first, at most 99", f.Value())
	case "oneof":
		return fmt.Sprintf("%q is not one of %s", f.Value(), f.Param())
	case "gt":
		return fmt.Sprintf("%v must be more than %s", f.Value(), f.Param())
	case "gte", "min":
		return fmt.Sprintf("%v must be at least %s", f.Value(), f.Param())
	case "lt":
		return fmt.Sprintf("%v must be less than %s", f.Value(), f.Param())
	case "lte", "max":
		return fmt.Sprintf("%v must be at most %s", f.Value(), f.Param())
	}
	return strings.TrimSpace(fmt.Sprintf("%v does not satisfy %s %s", f.Value(), f.Tag(), f.Param()))
}
