package dispatch

import (
	"context"
	"time"

	"heatherrelay/internal/objectstore"
	"heatherrelay/internal/refusal"
)

const (
	// maxCreateAttempts bounds the attempts to create an intent.
	maxCreateAttempts = 3
	createRetryPause  = 50 * time.Millisecond
	// defaultStoreTimeout bounds a call to the platform if Sender.StoreTimeout
	// is not set.
	defaultStoreTimeout = 2 * time.Second
)

// claim is an intent that this instance created, and whose call it may send.
type claim struct {
	key     string
	version uint64
	intent  intent
}

// sendWithIntent creates the intent of a call, sends the call and stores the
// reply in the intent. A call whose intent exists already is not sent: it gets
// the stored reply or a refusal.
func (s *Sender) sendWithIntent(ctx context.Context, c Call) (Reply, error) {
	if len(s.candidates(c.Service)) == 0 {
		return Reply{}, errNoTarget()
	}
	claimed, earlier, err := s.createIntent(ctx, c)
	if err != nil {
		return Reply{}, err
	}
	if earlier != nil {
		return earlier.resultFor(c, s.now())
	}
	reply, err := s.sendOnce(ctx, c)
	switch {
	case err == nil:
		s.storeReply(claimed, reply)
	case refusal.From(err).NotRun:
		s.deleteIntent(claimed)
	}
	return reply, err
}

// createIntent creates the intent of a call. It returns the claim, or the
// intent of an earlier request, or a refusal. When the response to a create is
// lost, it tries again, and recognizes its own intent by the Attempt field. If
// it gives up and may have created the intent, it queues a task that deletes
// it.
func (s *Sender) createIntent(ctx context.Context, c Call) (claim, *intent, error) {
	claimed := claim{key: intentKey(c), intent: newIntent(c, s.now())}
	value, err := claimed.intent.encode()
	if err != nil {
		return claim{}, nil, refusal.NotRun(refusal.CodeInternal, "internal error").WithCause(err)
	}
	var mayExist, conflict bool
	for range maxCreateAttempts {
		if claimed.version, err = s.put(ctx, claimed.key, value, 0); err == nil {
			return claimed, nil, nil
		}
		mayExist = mayExist || objectstore.ErrUnavailable.Has(err)
		if objectstore.ErrConflict.Has(err) {
			conflict = true
			found, version, readErr := s.readIntent(ctx, claimed.key)
			switch {
			case readErr == nil && found.Attempt == claimed.intent.Attempt:
				claimed.version = version
				return claimed, nil, nil
			case readErr == nil:
				return claim{}, &found, nil
			}
			err = readErr
		}
		s.pause(ctx, createRetryPause)
	}
	if mayExist {
		s.tasks.add(intentTask{claim: claimed, kind: taskDeleteIntent})
	}
	return claim{}, nil, errIntentNotCreated(conflict, err)
}

// errIntentNotCreated returns the refusal of a call whose intent could not be
// created. After a conflict an earlier request with the same key may have run.
func errIntentNotCreated(conflict bool, cause error) error {
	const text = "the platform that keeps calls from being repeated does not answer; this request was not sent"
	if conflict {
		return refusal.MayHaveRun(refusal.CodePlatformUnavailable, "%s, an earlier one with this idempotency key may have been", text).
			WithRetryAfter(retryAfter).WithCause(cause)
	}
	return refusal.NotRun(refusal.CodePlatformUnavailable, text).WithRetryAfter(retryAfter).WithCause(cause)
}

// storeReply stores the reply in a claim's intent. If the platform is
// unavailable or throttles the write, it queues a task for it.
func (s *Sender) storeReply(claimed claim, reply Reply) {
	claimed.intent = claimed.intent.withReply(reply)
	ctx, cancel := s.detachedContext()
	defer cancel()
	if err := s.writeReply(ctx, claimed); err != nil {
		s.tasks.add(intentTask{claim: claimed, kind: taskStoreReply})
	}
}

// deleteIntent deletes the intent of a claim whose call was not sent, so that a
// retry may run. If that fails it queues a task for it.
func (s *Sender) deleteIntent(claimed claim) {
	ctx, cancel := s.detachedContext()
	defer cancel()
	if err := s.Store.Delete(ctx, claimed.key, claimed.version); err != nil {
		s.tasks.add(intentTask{claim: claimed, kind: taskDeleteIntent})
	}
}

// writeReply makes one attempt to write a claim's intent with its reply. It
// returns an error only if a later attempt may succeed.
func (s *Sender) writeReply(ctx context.Context, claimed claim) error {
	value, err := claimed.intent.encode()
	if err != nil {
		return nil
	}
	_, err = s.Store.Put(ctx, claimed.key, value, claimed.version)
	if objectstore.ErrUnavailable.Has(err) || objectstore.ErrThrottled.Has(err) {
		return err
	}
	return nil
}

func (s *Sender) put(ctx context.Context, key string, value []byte, ifVersion uint64) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, s.storeTimeout())
	defer cancel()
	return s.Store.Put(ctx, key, value, ifVersion)
}

func (s *Sender) readIntent(ctx context.Context, key string) (intent, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, s.storeTimeout())
	defer cancel()
	object, err := s.Store.Get(ctx, key)
	if err != nil {
		return intent{}, 0, err
	}
	found, err := decodeIntent(object.Value)
	return found, object.Version, err
}

// detachedContext returns a context for calls to the platform that may outlive
// the request.
func (s *Sender) detachedContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), s.storeTimeout())
}

func (s *Sender) storeTimeout() time.Duration {
	if s.StoreTimeout > 0 {
		return s.StoreTimeout
	}
	return defaultStoreTimeout
}

// pause waits for d or until ctx ends.
func (s *Sender) pause(ctx context.Context, d time.Duration) {
	if s.Pause != nil {
		s.Pause(ctx, d)
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
