package gateway

import (
	"errors"
	"io"
	"strconv"
	"time"

	"github.com/zeebo/errs"
	"go.uber.org/zap"

	"heatherrelay/internal/eventstream"
	"heatherrelay/internal/refusal"
	"heatherrelay/internal/upstream"
)

// errStream says that a stream cannot be made whole.
var errStream = errs.Class("stream broken")

// passStream waits for the first event before it commits to the answer; until
// then another target can take the request as if nothing had happened.
func (e *exchange) passStream() {
	s := &stream{exchange: e}
	for {
		s.follow(e.response)
		event, err := s.next()
		if err == nil || errors.Is(err, io.EOF) {
			s.pending, s.err = event.Raw, err
			break
		}
		e.note("stream", e.target.ID, "broken")
		if refused := s.elsewhere(err); refused != nil {
			e.conclude(refused)
			return
		}
	}
	s.started = e.server.Now().Sub(e.startedAt)
	e.server.Metrics.firstEvent.Observe(s.started.Seconds())
	e.passHead(&e.response.Answer)
	e.streams = true
	e.client.Response.ImmediateHeaderFlush = true
	e.client.Response.SetBodyStream(s, -1)
}

// stream passes the events of a stream on, whole and in order, as the body of
// the client's answer. When the target breaks off, the stream goes on at another
// one after the last event, if the route allows that; else the client's
// connection is closed without the end of the body. A stream never ends as
// complete before its target ended it.
type stream struct {
	*exchange
	reader *eventstream.Reader
	// pending are bytes of whole events that the client's side has not read yet.
	pending []byte
	// err is returned once the pending bytes are read.
	err    error
	events int
	resume int
	// started is the time to the first event, longest the longest pause after it.
	started, longest time.Duration
	lastAt           time.Time
}

func (s *stream) follow(response *upstream.Response) {
	s.reader = eventstream.NewReader(response)
}

// next returns the next event and moves the position of the stream.
func (s *stream) next() (eventstream.Event, error) {
	event, err := s.reader.Next()
	if err != nil {
		return event, err
	}
	if s.events == 0 || s.resume > 0 {
		s.ticket.Started()
	}
	if event.ID != "" {
		if !follows(s.lastEvent, event.ID) {
			return event, errStream.New("event %s after %s", event.ID, s.lastEvent)
		}
		s.lastEvent = event.ID
	}
	s.notePause()
	s.events++
	if s.mayRepeat() {
		s.response.SetReadTimeout(eventLimit)
	}
	return event, nil
}

// notePause keeps the longest pause between events.
func (s *stream) notePause() {
	now := s.server.Now()
	if s.events > 0 {
		s.longest = max(s.longest, now.Sub(s.lastAt))
	}
	s.lastAt = now
}

// follows says whether an event may come after another; ids that are not
// numbers are not compared.
func follows(last, next string) bool {
	before, err := strconv.ParseInt(last, 10, 64)
	if err != nil {
		return true
	}
	after, err := strconv.ParseInt(next, 10, 64)
	return err != nil || after > before
}

// Read returns bytes of whole events.
func (s *stream) Read(p []byte) (int, error) {
	for len(s.pending) == 0 {
		if s.err != nil {
			return 0, s.err
		}
		s.advance()
	}
	n := copy(p, s.pending)
	s.pending = s.pending[n:]
	return n, nil
}

// advance reads the next event, at another target if the present one breaks off.
func (s *stream) advance() {
	event, err := s.next()
	if err == nil {
		s.pending = event.Raw
		return
	}
	if errors.Is(err, io.EOF) {
		s.err = io.EOF
		return
	}
	s.note("stream", s.target.ID, "broken")
	if refused := s.elsewhere(err); refused != nil {
		s.err = errStream.Wrap(refused)
		return
	}
	s.resume++
	s.follow(s.response)
}

// elsewhere sends the request to another target, to go on after the last event.
func (s *stream) elsewhere(cause error) *refusal.Error {
	s.response.Close()
	s.ticket.end()
	s.passedOver[s.target.ID] = true
	if s.ctx.Err() == nil {
		s.failed(cause)
	}
	if refused := s.mayGoOn(); refused != nil {
		return refused.Because(cause)
	}
	if !s.mayRepeat() {
		return refusal.MayHaveRun(refusal.CodeBrokenStream, "the target broke the stream off").Because(cause)
	}
	s.failure = nil
	if refused := s.obtain(); refused != nil {
		return refused
	}
	if !s.response.Success() {
		return refusal.MayHaveRun(refusal.CodeBrokenStream, "the stream could not go on: status %d", s.response.Status)
	}
	return nil
}

// cause is why the stream ended early; nil when it did not.
func (s *stream) cause() error {
	if errors.Is(s.err, io.EOF) {
		return nil
	}
	return s.err
}

// Close ends the exchange after the last byte was passed on, or after the
// client's connection failed.
func (s *stream) Close() error {
	s.response.Close()
	outcome := "streamed"
	if !errors.Is(s.err, io.EOF) {
		outcome = "stream broken off"
	}
	if gap := s.route.GapObjective; gap > 0 && s.resume == 0 {
		s.server.Pauses.Note(s.longest > gap)
	}
	s.server.Metrics.answered(s.response.Status, s.server.Now().Sub(s.startedAt))
	s.log(outcome, targetField(s.target.ID), zap.Int("events", s.events), zap.Duration("first_event", s.started),
		zap.Duration("longest_pause", s.longest), zap.Duration("expected_start", s.expected), zap.Int("resumed", s.resume),
		zap.String("last_event", s.lastEvent), zap.NamedError("cause", s.cause()))
	s.streams = false
	s.leave()
	return nil
}
