package crash

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
	"net"
	"strings"
)

// requestPrefix begins the digests of requests. The ids of parts of prompts have no
// colon, so that the two cannot be confused.
const requestPrefix = "request:"

// digestBytes is the length of a request digest before it is encoded.
const digestBytes = 12

// RequestDigest identifies a request over its repeats, which have ids of their own: the
// team that sends it, the host without a port, the path with the query, and the body.
// Headers are not part of it, since a repeat states another deadline.
func RequestDigest(team, host, uri string, body []byte) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	digest := sha256.New()
	for _, field := range []string{team, strings.ToLower(host), uri} {
		writeField(digest, []byte(field))
	}
	writeField(digest, body)
	return requestPrefix + hex.EncodeToString(digest.Sum(nil)[:digestBytes])
}

// IsRequest reports whether the name of a suspect is the digest of a request.
func IsRequest(name string) bool { return strings.HasPrefix(name, requestPrefix) }

// writeField adds a field with its length, so that no two lists of fields are alike.
func writeField(h hash.Hash, field []byte) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(field)))
	// A hash returns no error.
	_, _ = h.Write(length[:])
	_, _ = h.Write(field)
}
