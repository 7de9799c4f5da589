package entry

import (
	"bytes"
	"net/url"
	"regexp"
	"strings"

	"heatherrelay/internal/key"
	"heatherrelay/internal/refusal"
	"heatherrelay/pkg/release"
)

// keyStart begins every key; keyShape is what a key looks like inside other text.
var (
	keyStart = []byte("hr_")
	keyShape = regexp.MustCompile(`hr_[A-Za-z0-9._-]+_[A-Za-z0-9]{20,128}`)
)

// leakCheck refuses data for a target that holds a caller's key: the secret of
// the key that came with the request, or any key in force.
type leakCheck struct {
	state  *release.State
	secret string
}

func newLeakCheck(state *release.State, token string) leakCheck {
	return leakCheck{state: state, secret: token[strings.LastIndexByte(token, '_')+1:]}
}

// check looks at data as it is and without percent-encoding.
func (l leakCheck) check(data []byte) error {
	if l.holdsKey(data) {
		return errLeak()
	}
	if bytes.IndexByte(data, '%') < 0 {
		return nil
	}
	if plain, err := url.PathUnescape(string(data)); err == nil && l.holdsKey([]byte(plain)) {
		return errLeak()
	}
	return nil
}

func (l leakCheck) holdsKey(data []byte) bool {
	if l.secret != "" && bytes.Contains(data, []byte(l.secret)) {
		return true
	}
	if !bytes.Contains(data, keyStart) {
		return false
	}
	for _, text := range keyShape.FindAll(data, -1) {
		k, err := key.Parse(string(text))
		if err != nil {
			continue
		}
		if _, err := k.Team(l.state); err == nil {
			return true
		}
	}
	return false
}

func errLeak() error {
	return refusal.NotRun(refusal.CodeInvalidRequest, "the request holds a key outside the Authorization header")
}
