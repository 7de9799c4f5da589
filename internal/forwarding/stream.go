package forwarding

import (
	"cmp"
	"context"
	"errors"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"

	v1 "heatherrelay/internal/gen/heatherrelay/v1"
	"heatherrelay/internal/upstream"
)

// stream is the response of a target as a peer sends it. It calls onSilence after each
// silence, which messages do not end, like a connection to a target. Reads are made by one
// goroutine at a time; any goroutine may close the stream, which ends a read in progress.
type stream struct {
	ctx      context.Context
	cancel   context.CancelFunc
	messages <-chan received
	// done is closed by Close.
	done    chan struct{}
	onClose func(failed bool)
	endOnce sync.Once
	// ended is set once the end of the attempt has arrived, failed if the link ended
	// before, unless this side ended it.
	ended, failed atomic.Bool
	// unframed is set for a response without a length or chunks.
	unframed bool
	// pending is what Read has not returned yet of a message, err what it returns after
	// that.
	pending []byte
	err     error

	// silence is how long after silentSince onSilence is called; zero means never.
	silence     time.Duration
	onSilence   func()
	silentSince time.Time
}

// received is a message of a peer, or the error that ended the link.
type received struct {
	message *v1.ForwardResponse
	err     error
}

// newStream returns the stream of a peer's messages. The open function sends the attempt to
// the peer; it may wait until the peer has begun to answer. The cancel function ends the
// link and its context.
func newStream(ctx context.Context, cancel context.CancelFunc, open func() (*connect.ServerStreamForClient[v1.ForwardResponse], error)) *stream {
	arrived, done := make(chan received), make(chan struct{})
	deliver := func(r received) {
		select {
		case arrived <- r:
		case <-done:
		}
	}
	go func() {
		defer cancel()
		messages, err := open()
		if err != nil {
			deliver(received{err: err})
			return
		}
		// The link is closed already if this fails.
		defer func() { _ = messages.Close() }()
		for messages.Receive() {
			deliver(received{message: messages.Msg()})
		}
		deliver(received{err: cmp.Or(messages.Err(), errNoEnd)})
	}()
	return &stream{ctx: ctx, cancel: cancel, messages: arrived, done: done}
}

// SetSilence replaces silence and onSilence, and has silence begin now.
func (s *stream) SetSilence(silence time.Duration, onSilence func()) {
	s.silence, s.onSilence, s.silentSince = silence, onSilence, time.Now()
}

// MarkProgress has silence begin now.
func (s *stream) MarkProgress() { s.silentSince = time.Now() }

// next returns the next message. Its errors are those of the attempt; io.EOF means that
// the response is complete.
func (s *stream) next() (*v1.ForwardResponse, error) {
	for {
		var silent <-chan time.Time
		if s.silence > 0 {
			silent = time.After(time.Until(s.silentSince.Add(s.silence)))
		}
		select {
		case r := <-s.messages:
			switch {
			case r.err != nil:
				s.failed.Store(s.ctx.Err() == nil)
				return nil, linkError(r.err)
			case r.message.GetEnd() != nil:
				s.ended.Store(true)
				return nil, s.endError(r.message.GetEnd())
			}
			return r.message, nil
		case <-s.done:
			return nil, upstream.ErrIncompleteResponse.Wrap(ErrPeer.New("the response was closed"))
		case <-silent:
			s.MarkProgress()
			s.onSilence()
		}
	}
}

// readHead returns the head of the response. A peer of an earlier version passes heads on that
// are none.
func (s *stream) readHead() (upstream.ResponseHead, error) {
	message, err := s.next()
	if err != nil {
		return upstream.ResponseHead{}, err
	}
	if message.GetHead() == nil {
		return upstream.ResponseHead{}, upstream.ErrIncompleteResponse.Wrap(ErrPeer.New("body without a head"))
	}
	head := headFrom(message.GetHead())
	if err := checkHead(&head); err != nil {
		return upstream.ResponseHead{}, upstream.ErrIncompleteResponse.New("at the peer: %w", err)
	}
	s.unframed = head.Length == upstream.LengthUntilClose
	return head, nil
}

// endError returns the error that the end of the attempt means. A peer of an earlier
// version takes the end of a connection for that of the response, without evidence.
func (s *stream) endError(end *v1.ForwardEnd) error {
	err := endError(end)
	if s.unframed && !end.GetEndChecked() && errors.Is(err, io.EOF) {
		return upstream.ErrIncompleteResponse.Wrap(ErrPeer.New("the peer does not check the end of the response"))
	}
	return err
}

// Read reads from the body. It returns io.EOF only after the complete body.
func (s *stream) Read(p []byte) (int, error) {
	for len(s.pending) == 0 {
		if s.err != nil {
			return 0, s.err
		}
		message, err := s.next()
		if upstream.ErrNotSent.Has(err) || errDeclined.Has(err) {
			err = upstream.ErrIncompleteResponse.Wrap(ErrPeer.New("after the head: %v", err))
		}
		s.pending, s.err = message.GetBody(), err
	}
	n := copy(p, s.pending)
	s.pending = s.pending[n:]
	return n, nil
}

// Close ends the link, and with it the attempt at the target. After the end of the attempt
// the link stays open for another one.
func (s *stream) Close() {
	s.endOnce.Do(func() {
		close(s.done)
		if !s.ended.Load() {
			s.cancel()
		}
		s.onClose(s.failed.Load())
	})
}
