// Package key holds callers' keys: their text form, and the check of a key
// against the state of releases.
package key

import (
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"fmt"
	"io"
	"strings"

	"github.com/zeebo/errs"

	"heatherrelay/pkg/release"
)

// The kinds of errors of this package. No error holds any part of a secret.
var (
	// ErrMalformed says that a text is no key.
	ErrMalformed = errs.Class("malformed key")
	// ErrUnknown says that a key opens nothing: it was never granted, was
	// withdrawn, has another secret, or its team is gone.
	ErrUnknown = errs.Class("unknown key")
)

// The parts of a key's text form, hr_ID_SECRET.
const (
	prefix          = "hr_"
	scheme          = "bearer"
	idChars         = 10
	minSecretChars  = 20
	maxSecretChars  = 128
	maxTextBytes    = 256
	hashHexDigits   = 2 * sha256.Size
	maxHeaderSpaces = 8
)

// Key is a caller's key with its secret. Formatting and marshalling a key never
// show the secret; only Text does.
type Key struct {
	ID     string
	secret string
}

// Generate returns a new random key with at least 128 bits of secret.
func Generate() Key {
	return Key{
		ID:     strings.ToLower(rand.Text())[:idChars],
		secret: strings.ToLower(rand.Text()),
	}
}

// Parse reads a key's text form.
func Parse(text string) (Key, error) {
	rest, ok := strings.CutPrefix(text, prefix)
	if !ok || len(text) > maxTextBytes {
		return Key{}, ErrMalformed.New("want hr_ID_SECRET")
	}
	at := strings.LastIndexByte(rest, '_')
	if at < 1 {
		return Key{}, ErrMalformed.New("want hr_ID_SECRET")
	}
	k := Key{ID: rest[:at], secret: rest[at+1:]}
	if !plain(k.ID, "._-") || !plain(k.secret, "") {
		return Key{}, ErrMalformed.New("a character that no key has")
	}
	if len(k.secret) < minSecretChars || len(k.secret) > maxSecretChars {
		return Key{}, ErrMalformed.New("the secret has the wrong length")
	}
	return k, nil
}

// ParseBearer reads the key of an Authorization header, "Bearer hr_ID_SECRET".
func ParseBearer(header string) (Key, error) {
	if len(header) > len(scheme)+maxHeaderSpaces+maxTextBytes {
		return Key{}, ErrMalformed.New("the header is too long")
	}
	name, text, ok := strings.Cut(header, " ")
	if !ok || !strings.EqualFold(name, scheme) {
		return Key{}, ErrMalformed.New("want Bearer and a key")
	}
	return Parse(strings.Trim(text, " "))
}

// plain reports whether s has only ASCII letters, digits and the characters in also.
func plain(s, also string) bool {
	for _, r := range s {
		letter := 'a' <= r && r <= 'z' || 'A' <= r && r <= 'Z'
		digit := '0' <= r && r <= '9'
		if !letter && !digit && !strings.ContainsRune(also, r) {
			return false
		}
	}
	return true
}

// Text returns the whole key with its secret, to be shown once to its owner.
func (k Key) Text() string { return prefix + k.ID + "_" + k.secret }

// Hash returns the SHA-256 of the secret in lower-case hex, as releases keep it.
func (k Key) Hash() string {
	sum := sha256.Sum256([]byte(k.secret))
	return hex.EncodeToString(sum[:])
}

// String returns the key's id; the secret is left out.
func (k Key) String() string { return prefix + k.ID + "_..." }

// Format writes String whatever the verb, so that no verb shows the secret.
func (k Key) Format(f fmt.State, _ rune) {
	_, _ = io.WriteString(f, k.String())
}

// MarshalText returns String, so that no encoder shows the secret.
func (k Key) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

// Matches reports, in time that does not depend on the secret, whether hash is
// the key's.
func (k Key) Matches(hash string) bool {
	var have, want [hashHexDigits]byte
	sum := sha256.Sum256([]byte(k.secret))
	hex.Encode(have[:], sum[:])
	copy(want[:], hash)
	same := subtle.ConstantTimeCompare(have[:], want[:]) == 1
	return same && len(hash) == hashHexDigits
}

// Team returns the team that k belongs to under the state s. All ways to fail
// give the same kind of error, ErrUnknown.
func (k Key) Team(s *release.State) (release.Team, error) {
	granted, found := s.Key(k.ID)
	if !k.Matches(granted.Hash) || !found {
		return release.Team{}, ErrUnknown.New("%s", k.ID)
	}
	team, ok := s.Team(granted.Team)
	if !ok {
		return release.Team{}, ErrUnknown.New("%s: its team is gone", k.ID)
	}
	return team, nil
}
