// Package key generates and parses API keys of callers and operators. It
// authenticates a caller's key against the keys that releases have granted, and
// an operator's key against the keys in the settings.
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

// The errors of this package. No error text contains any part of a secret.
var (
	// ErrMalformed is returned for a text that is not in the form of a key.
	ErrMalformed = errs.Class("malformed key")
	// ErrUnknown is returned for a well-formed key that gives no access: it was
	// never granted, was withdrawn, has a wrong secret, or its team does not exist.
	ErrUnknown = errs.Class("unknown key")
)

// The text form of a key is hr_ID_SECRET. An Authorization header contains the scheme
// Bearer, spaces and a key. The limit of its length allows for the longest key and
// maxHeaderSpaces spaces.
const (
	keyPrefix        = "hr_"
	bearerScheme     = "bearer"
	generatedIDChars = 10
	minSecretChars   = 20
	maxSecretChars   = 128
	maxTextBytes     = 256
	hashHexDigits    = 2 * sha256.Size
	maxHeaderSpaces  = 8
)

// Key is an API key with its secret. Formatting or marshalling a key leaves the
// secret out; only Text returns it.
type Key struct {
	ID     string
	secret string
}

// Generate returns a new random key whose secret has at least 128 bits of entropy.
func Generate() Key {
	return Key{
		ID:     strings.ToLower(rand.Text())[:generatedIDChars],
		secret: strings.ToLower(rand.Text()),
	}
}

// Parse parses the text form of a key. Its errors are of class ErrMalformed.
func Parse(text string) (Key, error) {
	body, ok := strings.CutPrefix(text, keyPrefix)
	if !ok || len(text) > maxTextBytes {
		return Key{}, ErrMalformed.New("want hr_ID_SECRET")
	}
	separator := strings.LastIndexByte(body, '_')
	if separator < 1 {
		return Key{}, ErrMalformed.New("want hr_ID_SECRET")
	}
	k := Key{ID: body[:separator], secret: body[separator+1:]}
	if !hasOnlyKeyChars(k.ID, "._-") || !hasOnlyKeyChars(k.secret, "") {
		return Key{}, ErrMalformed.New("the id or the secret contains an invalid character")
	}
	if len(k.secret) < minSecretChars || len(k.secret) > maxSecretChars {
		return Key{}, ErrMalformed.New("the secret is too short or too long")
	}
	return k, nil
}

// ParseBearer parses the value of an Authorization header, "Bearer hr_ID_SECRET".
// Its errors are of class ErrMalformed.
func ParseBearer(header string) (Key, error) {
	if len(header) > len(bearerScheme)+maxHeaderSpaces+maxTextBytes {
		return Key{}, ErrMalformed.New("the header is too long")
	}
	name, text, ok := strings.Cut(header, " ")
	if !ok || !strings.EqualFold(name, bearerScheme) {
		return Key{}, ErrMalformed.New("want Bearer and a key")
	}
	return Parse(strings.Trim(text, " "))
}

// hasOnlyKeyChars reports whether s consists of ASCII letters, ASCII digits and
// characters of extra.
func hasOnlyKeyChars(s, extra string) bool {
	for _, r := range s {
		letter := 'a' <= r && r <= 'z' || 'A' <= r && r <= 'Z'
		digit := '0' <= r && r <= '9'
		if !letter && !digit && !strings.ContainsRune(extra, r) {
			return false
		}
	}
	return true
}

// Text returns the text form of the key including its secret, to be shown once
// to its owner.
func (k Key) Text() string { return keyPrefix + k.ID + "_" + k.secret }

// Hash returns the SHA-256 hash of the secret in lower-case hex, the form that
// releases and the settings store.
func (k Key) Hash() string {
	sum := sha256.Sum256([]byte(k.secret))
	return hex.EncodeToString(sum[:])
}

// String returns the text form with the secret replaced by "...".
func (k Key) String() string { return keyPrefix + k.ID + "_..." }

// Format writes the result of String for every verb, so that no verb prints the
// secret.
func (k Key) Format(f fmt.State, _ rune) {
	_, _ = io.WriteString(f, k.String())
}

// MarshalText returns the result of String, so that no encoder writes the secret.
func (k Key) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

// Matches reports whether hash is the hash of the key's secret. Its duration does
// not depend on the secret.
func (k Key) Matches(hash string) bool {
	var have, want [hashHexDigits]byte
	sum := sha256.Sum256([]byte(k.secret))
	hex.Encode(have[:], sum[:])
	copy(want[:], hash)
	same := subtle.ConstantTimeCompare(have[:], want[:]) == 1
	return same && len(hash) == hashHexDigits
}

// Team returns the team to which the key belongs in the state s. Every error is of
// class ErrUnknown.
func (k Key) Team(s *release.State) (release.Team, error) {
	granted, found := s.Key(k.ID)
	if !k.Matches(granted.Hash) || !found {
		return release.Team{}, ErrUnknown.New("%s", k.ID)
	}
	team, ok := s.Team(granted.Team)
	if !ok {
		return release.Team{}, ErrUnknown.New("%s: its team does not exist", k.ID)
	}
	return team, nil
}
