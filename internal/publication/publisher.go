package publication

import (
	"context"
	"time"

	"github.com/google/uuid"

	"heatherrelay/internal/objectstore"
	"heatherrelay/pkg/release"
)

// Publisher publishes notes. Creating the object of the next number is the
// acceptance, so operators that race are ordered and none overwrites another.
// Set the exported fields before use.
type Publisher struct {
	Store objectstore.Store
	// Now is the clock; nil is time.Now.
	Now func() time.Time
	// Pause waits before a call is tried again; nil backs off up to seconds.
	Pause func(ctx context.Context)
}

// Attempt is one act of publishing. It can be taken up again, also by another
// process, until it is settled.
type Attempt struct {
	PublishID string `json:"publish_id"`
	// Number is the only number under which the note may stand unsettled; zero
	// before the first try.
	Number uint64 `json:"number"`
}

// Publish publishes a note and returns its number. It tries until ctx is done
// and then fails with ErrNotAccepted, or with ErrUncertain when the last write
// may have taken effect: then Resume with the attempt settles it.
func (p *Publisher) Publish(ctx context.Context, note release.Note) (Attempt, error) {
	return p.Resume(ctx, Attempt{PublishID: uuid.NewString()}, note)
}

// Resume goes on with an attempt whose outcome is open. The note must be the same.
func (p *Publisher) Resume(ctx context.Context, attempt Attempt, note release.Note) (Attempt, error) {
	stored := Stored{PublishID: attempt.PublishID, Note: note, PublishedAt: p.now().UTC()}
	if err := note.Check(); err != nil {
		return attempt, err
	}
	if _, err := stored.Encode(); err != nil {
		return attempt, err
	}
	sent := attempt.Number > 0
	var lastErr error
	for ctx.Err() == nil {
		if attempt.Number == 0 {
			last, err := p.last(ctx, 0)
			if err != nil {
				lastErr = err
				p.pause(ctx)
				continue
			}
			attempt.Number = last + 1
		}
		stored.Number = attempt.Number
		sent = true
		outcome, err := p.try(ctx, stored)
		switch outcome {
		case accepted:
			return attempt, nil
		case taken:
			sent = false
			attempt.Number++
		case open:
			lastErr = err
			p.pause(ctx)
		case refused:
			return attempt, err
		}
	}
	if !sent {
		return attempt, ErrNotAccepted.New("gave up: %w", reasonOf(ctx, lastErr))
	}
	return attempt, ErrUncertain.New("as number %d: %w", attempt.Number, reasonOf(ctx, lastErr))
}

// outcome is what one try to create a note's object led to.
type outcome int

const (
	// open leaves the write's effect unknown, now or later.
	open outcome = iota
	// accepted says that the note stands under its number.
	accepted
	// taken says that another note stands under the number, for good.
	taken
	// refused says that the platform will never take the object.
	refused
)

// try creates the note's object. Only the sight of what stands under the number
// settles a try: an object that is absent may still be created by a delayed write.
func (p *Publisher) try(ctx context.Context, stored Stored) (outcome, error) {
	value, err := stored.Encode()
	if err != nil {
		return refused, err
	}
	_, err = p.Store.Put(ctx, NoteKey(stored.Number), value, 0)
	switch {
	case err == nil:
		return accepted, nil
	case objectstore.ErrTooLarge.Has(err):
		return refused, err
	}
	object, readErr := p.Store.Get(ctx, NoteKey(stored.Number))
	if readErr != nil {
		return open, err
	}
	there, decodeErr := Decode(object.Key, object.Value)
	if decodeErr == nil && there.PublishID == stored.PublishID {
		return accepted, nil
	}
	return taken, nil
}

// last returns the number of the last note, known to be from or above.
func (p *Publisher) last(ctx context.Context, from uint64) (uint64, error) {
	head, _, err := readHead(ctx, p.Store)
	if err != nil {
		return 0, err
	}
	last := max(from, head.Number)
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

func (p *Publisher) pause(ctx context.Context) {
	if p.Pause != nil {
		p.Pause(ctx)
		return
	}
	var b objectstore.Backoff
	b.Sleep(ctx)
}

// reasonOf returns why a call gave up: the last error, or that ctx ended.
func reasonOf(ctx context.Context, last error) error {
	if last != nil {
		return last
	}
	return ctx.Err()
}
