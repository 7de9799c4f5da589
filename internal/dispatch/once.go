package dispatch

import (
	"context"
	"time"

	"heatherrelay/internal/objectstore"
	"heatherrelay/internal/refusal"
)

const (
	// createAttempts bounds the tries at creating an intent.
	createAttempts = 3
	createPause    = 50 * time.Millisecond
	// defaultStoreTimeout bounds a call to the platform where nothing is set.
	defaultStoreTimeout = 2 * time.Second
)

// claim is an intent that this instance created and may send.
type claim struct {
	key     string
	version uint64
	intent  intent
}

// sendWithIntent sends a call after its intent stands in the platform, and keeps
// the outcome there. A call whose intent exists already is not sent.
func (s *Sender) sendWithIntent(ctx context.Context, c Call) (Reply, error) {
	if len(s.candidates(c.Service)) == 0 {
		return Reply{}, errNoTarget()
	}
	mine, earlier, err := s.claim(ctx, c)
	if err != nil {
		return Reply{}, err
	}
	if earlier != nil {
		return earlier.answer(c, s.now())
	}
	reply, err := s.sendOnce(ctx, c)
	switch {
	case err == nil:
		s.keep(mine, reply)
	case refusal.From(err).NotRun:
		s.withdraw(mine)
	}
	return reply, err
}

// claim creates the intent of a call. It returns either the claim, or the
// intent of an earlier request, or a refusal. A create whose answer is lost is
// settled by trying again and reading back the attempt.
func (s *Sender) claim(ctx context.Context, c Call) (claim, *intent, error) {
	mine := claim{key: intentKey(c), intent: newIntent(c, s.now())}
	value, err := mine.intent.encode()
	if err != nil {
		return claim{}, nil, refusal.NotRun(refusal.CodeInternal, "internal error").Because(err)
	}
	var lost, conflict bool
	for range createAttempts {
		if mine.version, err = s.put(ctx, mine.key, value, 0); err == nil {
			return mine, nil, nil
		}
		lost = lost || objectstore.ErrUnavailable.Has(err)
		if objectstore.ErrConflict.Has(err) {
			conflict = true
			found, version, readErr := s.read(ctx, mine.key)
			switch {
			case readErr == nil && found.Attempt == mine.intent.Attempt:
				mine.version = version
				return mine, nil, nil
			case readErr == nil:
				return claim{}, &found, nil
			}
			err = readErr
		}
		s.pause(ctx, createPause)
	}
	if lost {
		s.chores.add(chore{claim: mine, kind: choreWithdraw})
	}
	return claim{}, nil, errNoIntent(conflict, err)
}

// errNoIntent refuses a call whose intent could not be created. After a
// conflict an earlier request with the same key may have run.
func errNoIntent(conflict bool, cause error) error {
	const text = "the platform that keeps calls from being repeated does not answer; this request was not sent"
	if conflict {
		return refusal.MayHaveRun(refusal.CodePlatformAway, "%s, an earlier one with this idempotency key may have been", text).
			After(comeBackAfter).Because(cause)
	}
	return refusal.NotRun(refusal.CodePlatformAway, text).After(comeBackAfter).Because(cause)
}

// keep writes the outcome of a claim, now or later.
func (s *Sender) keep(mine claim, reply Reply) {
	mine.intent = mine.intent.done(reply)
	ctx, cancel := s.aside()
	defer cancel()
	if err := s.writeOutcome(ctx, mine); err != nil {
		s.chores.add(chore{claim: mine, kind: choreKeep})
	}
}

// withdraw deletes a claim that was not sent, now or later, so that a retry may run.
func (s *Sender) withdraw(mine claim) {
	ctx, cancel := s.aside()
	defer cancel()
	if err := s.Store.Delete(ctx, mine.key, mine.version); err != nil {
		s.chores.add(chore{claim: mine, kind: choreWithdraw})
	}
}

// writeOutcome returns nil when the outcome stands or can no longer be written.
func (s *Sender) writeOutcome(ctx context.Context, mine claim) error {
	value, err := mine.intent.encode()
	if err != nil {
		return nil
	}
	_, err = s.Store.Put(ctx, mine.key, value, mine.version)
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

func (s *Sender) read(ctx context.Context, key string) (intent, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, s.storeTimeout())
	defer cancel()
	object, err := s.Store.Get(ctx, key)
	if err != nil {
		return intent{}, 0, err
	}
	found, err := decodeIntent(object.Value)
	return found, object.Version, err
}

// aside returns a context for platform calls that outlive the request.
func (s *Sender) aside() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), s.storeTimeout())
}

func (s *Sender) storeTimeout() time.Duration {
	if s.StoreTimeout > 0 {
		return s.StoreTimeout
	}
	return defaultStoreTimeout
}

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
