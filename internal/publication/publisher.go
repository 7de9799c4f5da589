package publication

import (
	"context"
	"time"

	"github.com/google/uuid"

	"heatherrelay/internal/objectstore"
	"heatherrelay/pkg/release"
)

// Publisher publishes release notes. Creating the object of the next number is
// what accepts a note, and only one writer can create it: concurrent operators
// are ordered, and none overwrites another's note. Set the exported fields before
// use.
type Publisher struct {
	Store objectstore.Store
	// Now returns the current time; nil means time.Now.
	Now func() time.Time
	// RetryWait waits before a failed call is retried; nil waits for the first
	// delay of an objectstore.Backoff each time.
	RetryWait func(ctx context.Context)
}

// Attempt identifies one publication of a note. While its outcome is unknown it
// can be resumed, also by another process.
type Attempt struct {
	PublishID string `json:"publish_id"`
	// Number is the only number under which the note may be stored while the
	// outcome is unknown; zero before the first write.
	Number uint64 `json:"number"`
}

// Publish publishes a note and returns its number. It retries until ctx is done
// and then fails with ErrNotAccepted, or with ErrUncertain when the last write
// may have taken effect; Resume with the returned attempt then determines the
// outcome.
func (p *Publisher) Publish(ctx context.Context, note release.Note) (Attempt, error) {
	return p.Resume(ctx, Attempt{PublishID: uuid.NewString()}, note)
}

// Resume continues an attempt whose outcome is unknown. The note must be the
// same.
func (p *Publisher) Resume(ctx context.Context, attempt Attempt, note release.Note) (Attempt, error) {
	stored := StoredNote{PublishID: attempt.PublishID, Note: note, PublishedAt: p.now().UTC()}
	if err := note.Check(); err != nil {
		return attempt, err
	}
	if _, err := stored.Encode(); err != nil {
		return attempt, err
	}
	mayBeStored := attempt.Number > 0
	var lastErr error
	for ctx.Err() == nil {
		if attempt.Number == 0 {
			last, err := p.lastNumber(ctx, 0)
			if err != nil {
				lastErr = err
				p.waitBeforeRetry(ctx)
				continue
			}
			attempt.Number = last + 1
		}
		stored.Number = attempt.Number
		mayBeStored = true
		outcome, err := p.createNote(ctx, stored)
		switch outcome {
		case outcomeAccepted:
			return attempt, nil
		case outcomeNumberTaken:
			mayBeStored = false
			attempt.Number++
		case outcomeUnknown:
			lastErr = err
			p.waitBeforeRetry(ctx)
		case outcomeRejected:
			return attempt, err
		}
	}
	if !mayBeStored {
		return attempt, ErrNotAccepted.New("gave up: %w", lastFailure(ctx, lastErr))
	}
	return attempt, ErrUncertain.New("a write of note %d may have taken effect: %w", attempt.Number, lastFailure(ctx, lastErr))
}

// outcome is the result of one call to create a note's object.
type outcome int

const (
	// outcomeUnknown means that the write may have taken effect or may still do
	// so.
	outcomeUnknown outcome = iota
	// outcomeAccepted means that the note is stored under its number.
	outcomeAccepted
	// outcomeNumberTaken means that another note is stored under the number,
	// which is final.
	outcomeNumberTaken
	// outcomeRejected means that the platform will never accept the object.
	outcomeRejected
)

// createNote creates the note's object. If the write fails, only an object that
// is read under the number determines the outcome: while the object is absent, a
// delayed write may still create it.
func (p *Publisher) createNote(ctx context.Context, stored StoredNote) (outcome, error) {
	value, err := stored.Encode()
	if err != nil {
		return outcomeRejected, err
	}
	_, err = p.Store.Put(ctx, NoteKey(stored.Number), value, 0)
	switch {
	case err == nil:
		return outcomeAccepted, nil
	case objectstore.ErrTooLarge.Has(err):
		return outcomeRejected, err
	}
	object, readErr := p.Store.Get(ctx, NoteKey(stored.Number))
	if readErr != nil {
		return outcomeUnknown, err
	}
	existing, decodeErr := Decode(object.Key, object.Value)
	if decodeErr == nil && existing.PublishID == stored.PublishID {
		return outcomeAccepted, nil
	}
	return outcomeNumberTaken, nil
}

// lastNumber returns the number of the last note in the platform. The caller
// knows that it is atLeast or higher.
func (p *Publisher) lastNumber(ctx context.Context, atLeast uint64) (uint64, error) {
	head, _, err := readHead(ctx, p.Store)
	if err != nil {
		return 0, err
	}
	last := max(atLeast, head.Number)
	for {
		listing, err := p.Store.List(ctx, blockPrefix(last+1))
		if err != nil {
			return 0, err
		}
		block := blockPrefix(last + 1)
		for _, object := range listing.Objects {
			if object.Key == NoteKey(last+1) {
				last++
			}
		}
		if blockPrefix(last+1) == block {
			return last, nil
		}
	}
}

func (p *Publisher) now() time.Time {
	if p.Now != nil {
		return p.Now()
	}
	return time.Now()
}

func (p *Publisher) waitBeforeRetry(ctx context.Context) {
	if p.RetryWait != nil {
		p.RetryWait(ctx)
		return
	}
	var backoff objectstore.Backoff
	backoff.Sleep(ctx)
}

// lastFailure returns why a call stopped retrying: its last error, or the error
// of ctx when there was none.
func lastFailure(ctx context.Context, lastErr error) error {
	if lastErr != nil {
		return lastErr
	}
	return ctx.Err()
}
