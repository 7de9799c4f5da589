package callerapi

import (
	"bytes"
	"net/url"
	"regexp"
	"strings"

	"heatherrelay/internal/key"
	"heatherrelay/internal/refusal"
	"heatherrelay/pkg/release"
)

// keyPrefix starts every key; keyPattern matches a key within other text.
var (
	keyPrefix  = []byte("hr_")
	keyPattern = regexp.MustCompile(`hr_[A-Za-z0-9._-]+_[A-Za-z0-9]{20,128}`)
)

// keyLeakChecker refuses data that would leak a caller's key to a target: data
// that contains the secret of the request's own key, or any key in force.
type keyLeakChecker struct {
	state  *release.State
	secret string
}

func newKeyLeakChecker(state *release.State, token string) keyLeakChecker {
	return keyLeakChecker{state: state, secret: token[strings.LastIndexByte(token, '_')+1:]}
}

// check returns a refusal if data contains a key, either as it is or after
// percent-decoding.
func (c keyLeakChecker) check(data []byte) error {
	if c.containsKey(data) {
		return keyLeakRefusal()
	}
	if bytes.IndexByte(data, '%') < 0 {
		return nil
	}
	if decoded, err := url.PathUnescape(string(data)); err == nil && c.containsKey([]byte(decoded)) {
		return keyLeakRefusal()
	}
	return nil
}

func (c keyLeakChecker) containsKey(data []byte) bool {
	if c.secret != "" && bytes.Contains(data, []byte(c.secret)) {
		return true
	}
	if !bytes.Contains(data, keyPrefix) {
		return false
	}
	for _, text := range keyPattern.FindAll(data, -1) {
		k, err := key.Parse(string(text))
		if err != nil {
			continue
		}
		if _, err := k.Team(c.state); err == nil {
			return true
		}
	}
	return false
}

func keyLeakRefusal() error {
	return refusal.NotRun(refusal.CodeInvalidRequest, "the request holds a key outside the Authorization header")
}
