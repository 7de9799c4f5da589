package demo_test

import (
	"bytes"
	"strings"
	"testing"

	"go.uber.org/zap"

	"heatherrelay/internal/standin"
	"heatherrelay/internal/standin/demo"
)

func TestDemoAnswers(t *testing.T) {
	var out bytes.Buffer
	d := demo.Demo{Out: &out, Log: zap.NewNop(), Once: true}
	if err := d.Run(t.Context()); err != nil {
		t.Fatalf("%v\n%s", err, out.String())
	}
	for _, want := range []string{
		"in force on 3 instances in 3 zones",
		standin.Answer("verges@1", "Which lane comes next?", 24),
		`"path":"/rounds/7"`,
		"curl -N",
	} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("%q is missing in:\n%s", want, out.String())
		}
	}
}
