package dispatch

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"time"

	"github.com/google/uuid"

	"heatherrelay/internal/refusal"
)

const (
	// intentPrefix is the prefix of the object keys of intents in the platform.
	intentPrefix = "intent/"
	// maxStoredReplyBytes bounds the body and headers of a reply stored in an
	// intent.
	maxStoredReplyBytes = 64 << 10
)

// intentState is the progress of a call that may not be repeated.
type intentState string

const (
	// intentSent: the call may have been sent, and no reply is stored.
	intentSent intentState = "sent"
	// intentDone: the service replied.
	intentDone intentState = "done"
)

// intent is the record that the platform holds of a call that may not be
// repeated. It is created before the call is sent, and only the instance that
// created it sends the call. So a call with an intent is never sent by another
// instance.
type intent struct {
	// Attempt is unique to each attempt to create an intent, so that the
	// creator can recognize its own intent. A request id is not enough: if a
	// request reaches two instances, each would take the intent of the other
	// for its own.
	Attempt string `json:"attempt"`
	// Fingerprint identifies the request, so that a key reused for another
	// request is detected.
	Fingerprint    string      `json:"fingerprint"`
	State          intentState `json:"state"`
	CreatedUnixMS  int64       `json:"created_unix_ms"`
	DeadlineUnixMS int64       `json:"deadline_unix_ms"`
	// Reply is set when State is intentDone.
	Reply *Reply `json:"reply,omitempty"`
	// BodyNotKept is set when the body and headers were too large to store.
	BodyNotKept bool `json:"body_not_kept,omitempty"`
}

// newIntent returns the intent of a call that is about to be sent.
func newIntent(c Call, now time.Time) intent {
	return intent{
		Attempt:        uuid.NewString(),
		Fingerprint:    fingerprint(c),
		State:          intentSent,
		CreatedUnixMS:  now.UnixMilli(),
		DeadlineUnixMS: c.Deadline.UnixMilli(),
	}
}

// withReply returns the intent with the reply of the service. It leaves out the
// body and headers if they exceed maxStoredReplyBytes.
func (in intent) withReply(reply Reply) intent {
	in.State = intentDone
	size := len(reply.Body)
	for _, h := range reply.Header {
		size += len(h.Name) + len(h.Value)
	}
	if size > maxStoredReplyBytes {
		reply.Body, reply.Header = nil, nil
		in.BodyNotKept = true
	}
	in.Reply = &reply
	return in
}

// resultFor returns the result of a call that finds this intent of an earlier
// request: the stored reply, or a refusal. Errors are *refusal.Error.
func (in intent) resultFor(c Call, now time.Time) (Reply, error) {
	switch {
	case in.Fingerprint != fingerprint(c):
		return Reply{}, refusal.NotRun(refusal.CodeIdempotencyKeyReused, "this idempotency key came with another request before").WithField("Idempotency-Key")
	case in.State == intentDone && in.Reply != nil:
		reply := *in.Reply
		reply.Replayed, reply.BodyNotKept = true, in.BodyNotKept
		return reply, nil
	case now.UnixMilli() < in.DeadlineUnixMS:
		return Reply{}, refusal.MayHaveRun(refusal.CodeInProgress, "an earlier request with this idempotency key may still be running").
			WithRetryAfter(min(retryAfter, time.UnixMilli(in.DeadlineUnixMS).Sub(now)))
	default:
		return Reply{}, refusal.MayHaveRun(refusal.CodeMayHaveRun, "an earlier request with this idempotency key may have run; it is not sent again")
	}
}

// expired reports whether the call's deadline passed more than retention ago.
func (in intent) expired(now time.Time, retention time.Duration) bool {
	return now.Sub(time.UnixMilli(in.DeadlineUnixMS)) > retention
}

func (in intent) encode() ([]byte, error) { return json.Marshal(in) }

func decodeIntent(value []byte) (intent, error) {
	var in intent
	err := json.Unmarshal(value, &in)
	return in, err
}

// intentKey returns the object key of a call's intent.
func intentKey(c Call) string {
	return intentPrefix + digest([]byte(c.Team), []byte(c.Service), []byte(c.IdempotencyKey))
}

// fingerprint identifies the content of a call: method, path, query and body.
func fingerprint(c Call) string {
	return digest([]byte(c.Method), []byte(c.Path), []byte(c.Query), c.Body)
}

// digest hashes each part with its length, so that different lists of parts
// never hash the same bytes.
func digest(parts ...[]byte) string {
	hash := sha256.New()
	var size [8]byte
	for _, part := range parts {
		binary.BigEndian.PutUint64(size[:], uint64(len(part)))
		hash.Write(size[:])
		hash.Write(part)
	}
	return hex.EncodeToString(hash.Sum(nil))
}
