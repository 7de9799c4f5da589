package key_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"heatherrelay/internal/key"
	"heatherrelay/pkg/release"
)

const (
	sampleSecret = "abcdefghijklmnopqrstuvwxyz"
	sampleText   = "hr_crews-1_" + sampleSecret
)

func ExampleKey_Team() {
	k, err := key.ParseBearer("Bearer " + sampleText)
	if err != nil {
		panic(err)
	}
	s, err := (&release.State{}).Apply(1, release.Note{
		Teams: []release.Team{{Name: "crews", TokensPerSecond: 1, BurstTokens: 1}},
		Keys:  []release.Key{{ID: k.ID, Hash: k.Hash(), Team: "crews"}},
	})
	if err != nil {
		panic(err)
	}
	team, err := k.Team(s)
	fmt.Println(k, team.Name, err)

	s, err = s.Apply(2, release.Note{Withdraw: release.Withdraw{Keys: []string{k.ID}}})
	if err != nil {
		panic(err)
	}
	_, err = k.Team(s)
	fmt.Println(err)
	// Output:
	// hr_crews-1_... crews <nil>
	// unknown key: crews-1
}

// TestTeamRejectsWrongSecretAndUnknownTeam checks that Team fails for a key whose
// team does not exist, for a wrong secret, for a granted key without a hash and for
// an ID that was never granted.
func TestTeamRejectsWrongSecretAndUnknownTeam(t *testing.T) {
	k, other := key.Generate(), key.Generate()
	other.ID = k.ID
	s, err := (&release.State{}).Apply(1, release.Note{
		Keys: []release.Key{{ID: k.ID, Hash: k.Hash(), Team: "gone"}, {ID: "empty", Team: "gone"}},
	})
	if err != nil {
		t.Fatal(err)
	}
	for _, k := range []key.Key{k, other, {ID: "empty"}, {ID: "never"}} {
		if _, err := k.Team(s); !key.ErrUnknown.Has(err) {
			t.Errorf("%s: %v", k.ID, err)
		}
	}
	if k.Matches(other.Hash()) || !k.Matches(k.Hash()) {
		t.Error("Matches accepts the hash of another key, or rejects the key's own hash")
	}
}

func TestFormattingHidesTheSecret(t *testing.T) {
	k, err := key.Parse(sampleText)
	if err != nil {
		t.Fatal(err)
	}
	asJSON, err := json.Marshal(map[string]any{"key": k, "in": struct{ K key.Key }{k}})
	if err != nil {
		t.Fatal(err)
	}
	shown := string(asJSON)
	for _, verb := range []string{"%v", "%+v", "%#v", "%s", "%q", "%x", "%d"} {
		shown += fmt.Sprintf(verb, k) + fmt.Sprintf(verb, &k) + fmt.Sprintf(verb, []key.Key{k})
	}
	if strings.Contains(shown, sampleSecret) || strings.Contains(shown, fmt.Sprintf("%x", sampleSecret)) {
		t.Errorf("formatted output contains the secret: %s", shown)
	}
	if k.Text() != sampleText {
		t.Errorf("Text() = %q, want the parsed text", k.Text())
	}
}

// FuzzParseBearer checks that no header makes the parser panic, that the text form
// of an accepted key parses to the same key, and that no error contains the secret.
func FuzzParseBearer(f *testing.F) {
	f.Add("Bearer " + sampleText)
	f.Add("bearer  hr__x")
	f.Add("Basic aHJfeA==")
	f.Fuzz(func(t *testing.T, header string) {
		k, err := key.ParseBearer(header)
		if err != nil {
			if strings.Contains(err.Error(), sampleSecret) {
				t.Fatalf("the error contains the secret: %v", err)
			}
			return
		}
		again, err := key.Parse(k.Text())
		if err != nil || again != k {
			t.Fatalf("the text form of the key in %q does not parse to the same key: %v", header, err)
		}
	})
}

func BenchmarkTeam(b *testing.B) {
	var note release.Note
	note.Teams = []release.Team{{Name: "crews"}}
	var k key.Key
	for range 5000 {
		k = key.Generate()
		note.Keys = append(note.Keys, release.Key{ID: k.ID, Hash: k.Hash(), Team: "crews"})
	}
	s, err := (&release.State{}).Apply(1, note)
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := k.Team(s); err != nil {
			b.Fatal(err)
		}
	}
}
