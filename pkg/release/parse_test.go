package release_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"
	"strings"
	"testing"

	"heatherrelay/pkg/release"
)

func ExampleParse() {
	_, err := release.Parse(strings.NewReader(`
titel = "spring"

[[teams]]
name = "lesneven crews"
tokens_per_second = "fast"
burst_tokens = -5

[[keys]]
id = "k1"
team = "crews"
hash = "secret"

[[routes]]
name = "orders"
kind = "service"
timeout = "soon"
service = "dispatch"
path_prefix = "/a/../b"

[withdraw]
keys = ["k1"]
`))
	fmt.Println(err)
	// Output:
	// invalid release note: routes[0].timeout: invalid duration "soon"
	// teams[0].tokens_per_second: want a number, have a string
	// titel: unknown field
	// teams[0].name: "lesneven crews" is no name: letters, digits, '.', '_' and '-', a letter or digit first, at most 99
	// teams[0].burst_tokens: -5 must be more than 0
	// keys[0].hash: want the SHA-256 of the secret as 64 lower-case hex digits
	// routes[0].path_prefix: must start with a slash, without empty segments, '.' or '..', and be at most 1000 bytes
	// withdraw.keys[0]: "k1" stands at keys[0] already
}

const completeNote = `
title = "first"
[[adapters]]
name = "verge-plan"
version = "3"
base_model = "base"
teams = ["crews"]
[[teams]]
name = "crews"
tokens_per_second = 400
burst_tokens = 8000.5
weight = 2
[[keys]]
id = "k1"
team = "crews"
hash = "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08"
[[routes]]
name = "orders"
kind = "service"
service = "dispatch"
path_prefix = "/orders"
methods = ["POST"]
timeout = "20s"
class = "patient"
tokens_per_call = 10
[[targets]]
id = "worker-1"
checks_fencing = true
[withdraw]
adapters = ["verge-plan@2"]
`

// FuzzParse checks that no input makes the parser panic, and that a note which it
// accepts passes Check and can be applied after a round trip through its stored
// form.
func FuzzParse(f *testing.F) {
	f.Add([]byte(completeNote))
	f.Add([]byte("[[teams]]\nname = 1\ntokens_per_second = nan"))
	f.Add([]byte("adapters = [[1], {name = 2020-01-01}]\nwithdraw = 3"))
	f.Fuzz(func(t *testing.T, data []byte) {
		note, err := release.Parse(bytes.NewReader(data))
		if err != nil {
			return
		}
		if err := note.Check(); err != nil {
			t.Fatalf("Parse accepted the note, Check did not: %v", err)
		}
		stored, err := json.Marshal(note)
		if err != nil {
			t.Fatal(err)
		}
		var back release.Note
		if err := json.Unmarshal(stored, &back); err != nil {
			t.Fatal(err)
		}
		if _, err := (&release.State{}).Apply(1, back); err != nil {
			t.Fatal(err)
		}
	})
}

func TestParseNoteWithAllFields(t *testing.T) {
	note, err := release.Parse(strings.NewReader(completeNote))
	if err != nil {
		t.Fatal(err)
	}
	stored, err := json.Marshal(note)
	if err != nil {
		t.Fatal(err)
	}
	var back release.Note
	if err := json.Unmarshal(stored, &back); err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(note, back) {
		t.Errorf("the stored form changes the note:\n%+v\n%+v", note, back)
	}
	if note.Teams[0].BurstTokens != 8000.5 || note.Routes[0].Timeout.Seconds() != 20 {
		t.Errorf("wrong burst or timeout: %+v", note)
	}
}
