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
	// intentPrefix is where intents are kept in the platform.
	intentPrefix = "intent/"
	// maxKeptReplyBytes bounds the reply that an intent keeps.
	maxKeptReplyBytes = 64 << 10
)

// intentState says how far a call that may not be repeated has got.
type intentState string

const (
	// intentSent: the call may have been sent and no outcome is known.
	intentSent intentState = "sent"
	// intentDone: the service answered.
	intentDone intentState = "done"
)

// intent is what the platform holds of a call that may not be repeated. It is
// created before the call is sent, and only by the one who sends; so a call
// whose intent exists is never sent by anyone else.
type intent struct {
	// Attempt is unique to each try at creating an intent, and tells the creator
	// its own from another's. A request id would not do: a request that reaches
	// two instances would find its intent in both.
	Attempt string `json:"attempt"`
	// Fingerprint is of the request, so that a reused key is noticed.
	Fingerprint    string      `json:"fingerprint"`
	State          intentState `json:"state"`
	CreatedUnixMS  int64       `json:"created_unix_ms"`
	DeadlineUnixMS int64       `json:"deadline_unix_ms"`
	// Reply is set when State is done.
	Reply *Reply `json:"reply,omitempty"`
	// BodyNotKept says that the body was too large to keep.
	BodyNotKept bool `json:"body_not_kept,omitempty"`
}

// newIntent returns the intent to send a call.
func newIntent(c Call, now time.Time) intent {
	return intent{
		Attempt:        uuid.NewString(),
		Fingerprint:    fingerprint(c),
		State:          intentSent,
		CreatedUnixMS:  now.UnixMilli(),
		DeadlineUnixMS: c.Deadline.UnixMilli(),
	}
}

// done returns the intent with its outcome, as far as it can be kept.
func (in intent) done(reply Reply) intent {
	in.State = intentDone
	size := len(reply.Body)
	for _, h := range reply.Header {
		size += len(h.Name) + len(h.Value)
	}
	if size > maxKeptReplyBytes {
		reply.Body, reply.Header = nil, nil
		in.BodyNotKept = true
	}
	in.Reply = &reply
	return in
}

// answer returns what a call gets that finds this intent of an earlier request.
func (in intent) answer(c Call, now time.Time) (Reply, error) {
	switch {
	case in.Fingerprint != fingerprint(c):
		return Reply{}, refusal.NotRun(refusal.CodeKeyReused, "this idempotency key came with another request before").At("Idempotency-Key")
	case in.State == intentDone && in.Reply != nil:
		reply := *in.Reply
		reply.Replayed, reply.BodyNotKept = true, in.BodyNotKept
		return reply, nil
	case now.UnixMilli() < in.DeadlineUnixMS:
		return Reply{}, refusal.MayHaveRun(refusal.CodeInProgress, "an earlier request with this idempotency key may still be running").
			After(min(comeBackAfter, time.UnixMilli(in.DeadlineUnixMS).Sub(now)))
	default:
		return Reply{}, refusal.MayHaveRun(refusal.CodeMayHaveRun, "an earlier request with this idempotency key may have run; it is not sent again")
	}
}

// expired reports whether the call's deadline is more than retention ago.
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

// fingerprint identifies what a call asks for.
func fingerprint(c Call) string {
	return digest([]byte(c.Method), []byte(c.Path), []byte(c.Query), c.Body)
}

// digest hashes parts so that no two lists of parts share a text.
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
