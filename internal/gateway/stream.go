package gateway

import (
	"errors"
	"io"
	"time"

	"github.com/zeebo/errs"
	"go.uber.org/zap"

	"heatherrelay/internal/eventstream"
	"heatherrelay/internal/liveness"
	"heatherrelay/internal/refusal"
)

// errStream is the class of errors that end a stream before it is complete.
var errStream = errs.Class("stream broken")

// forwardStream waits for the first event before it sends the head of the response
// to the client. Until then the request can move to another target without the
// client noticing.
func (e *exchange) forwardStream() {
	s := &stream{exchange: e}
	for {
		s.attach()
		event, err := s.nextEvent()
		if err == nil || errors.Is(err, io.EOF) {
			s.pending, s.err = event.Raw, err
			break
		}
		e.recordBreak(err)
		if refused := s.resumeElsewhere(err); refused != nil {
			e.finishFailed(refused)
			return
		}
	}
	s.timeToFirstEvent = e.server.Now().Sub(e.startedAt)
	e.server.Metrics.firstEvent.Observe(s.timeToFirstEvent.Seconds())
	e.writeHead(&e.response.ResponseHead)
	s.endLimit = limitStall(e.client.Conn())
	e.streaming = true
	e.client.Response.ImmediateHeaderFlush = true
	e.client.Response.SetBodyStream(s, -1)
}

// stream is the body of a streamed response to the client. It forwards complete
// events, in order. If the response is truncated and the route allows a retry, the
// stream resumes on another target after the last event; otherwise the client's
// connection is closed without the end of the body. The client sees a complete
// body only if the target completed the stream.
type stream struct {
	*exchange
	reader *eventReader
	// pending holds the bytes of complete events that Read has not returned yet.
	pending []byte
	// err is returned by Read after the pending bytes. breakCause is the error that
	// ended the target's stream if it could not be resumed.
	err        error
	breakCause error
	// events counts the forwarded events; resumes counts the switches to another
	// target after the first event.
	events  int
	resumes int
	// timeToFirstEvent is measured from the arrival of the request; longestPause is
	// the longest time between two events.
	timeToFirstEvent, longestPause time.Duration
	lastEventAt                    time.Time
	// endLimit ends the limit on how far the client may be behind.
	endLimit func()
}

// attach makes the exchange's response the source of further events.
func (s *stream) attach() { s.reader = s.newEventReader() }

// readEvent reads an event from the target or, if that one is silent, from the hedge
// that was faster.
func (s *stream) readEvent() (eventstream.Event, error) {
	if s.prefetched == nil {
		event, err := s.reader.next(s.lastEventID)
		err = s.checkStreamEnd(event, err)
		h := s.settleHedge(err == nil || errors.Is(err, io.EOF))
		if h == nil {
			return event, err
		}
		s.response.Close()
		s.recordSilence()
		s.adopt(h)
		if s.events > 0 {
			s.resumes++
		}
	}
	p := s.prefetched
	s.prefetched = nil
	s.reader = p.reader
	return p.event, p.err
}

// nextEvent reads the next event and advances lastEventID.
func (s *stream) nextEvent() (eventstream.Event, error) {
	s.awaitEvent(s.server.Now())
	event, err := s.readEvent()
	if err != nil {
		return event, err
	}
	s.observeEvent()
	if s.events == 0 || s.resumes > 0 {
		s.tracked.ObserveFirstEvent()
	}
	if s.events == 0 {
		s.observePrompt(s.server.Now())
	}
	s.lastEventID = event.ID
	s.bindToTarget()
	s.recordPause()
	s.events++
	s.armHedge()
	return event, nil
}

// recordPause updates the longest pause between events.
func (s *stream) recordPause() {
	now := s.server.Now()
	if s.events > 0 {
		s.longestPause = max(s.longestPause, now.Sub(s.lastEventAt))
	}
	s.lastEventAt = now
}

// Read returns bytes of complete events only.
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

// advance reads the next event into pending. If the response is truncated, it
// resumes the stream on another target; if that fails, it sets err. A stream that seems
// complete, of a target of which nothing is known, then counts as complete.
func (s *stream) advance() {
	event, err := s.nextEvent()
	if err == nil {
		s.pending = event.Raw
		return
	}
	if errors.Is(err, io.EOF) {
		s.pending, s.err = event.Raw, io.EOF
		return
	}
	s.recordBreak(err)
	if refused := s.resumeElsewhere(err); refused != nil {
		s.err, s.breakCause = errStream.Wrap(refused), err
		if liveness.ErrUndecided.Has(err) {
			s.err = io.EOF
		}
		return
	}
	s.resumes++
	s.attach()
}

// resumeElsewhere sends the request to another target, which is to continue after
// the last event. It returns a refusal if that is not allowed or fails.
func (s *stream) resumeElsewhere(cause error) *refusal.Error {
	s.response.Close()
	s.tracked.end()
	s.excluded[s.target.ID] = true
	s.recordIncomplete(cause)
	if refused := s.checkClientAndDeadline(); refused != nil {
		return refused.WithCause(cause)
	}
	if !s.mayRetry() {
		return refusal.MayHaveRun(refusal.CodeBrokenStream, "the target broke the stream off").WithCause(cause)
	}
	s.lastFailure = nil
	if refused := s.obtainResponse(); refused != nil {
		return refused
	}
	if !s.response.Success() {
		return refusal.MayHaveRun(refusal.CodeBrokenStream, "the stream could not go on: status %d", s.response.Status)
	}
	return nil
}

// cause returns the error that ended the stream early; nil if it is complete.
func (s *stream) cause() error {
	if errors.Is(s.err, io.EOF) {
		return nil
	}
	return s.err
}

// Close ends the exchange. The HTTP server calls it after the last byte was
// written or after the client's connection failed.
func (s *stream) Close() error {
	s.endLimit()
	s.response.Close()
	outcome := "streamed"
	if !errors.Is(s.err, io.EOF) {
		outcome = "stream broken off"
	}
	if gap := s.route.GapObjective; gap > 0 && s.resumes == 0 {
		s.server.StreamPauses.Observe(s.longestPause > gap)
	}
	s.recordRun()
	s.server.Metrics.observeResponse(s.response.Status, s.server.Now().Sub(s.startedAt))
	s.logOutcome(outcome, append(s.speedFields(), targetField(s.target.ID), s.versionField(), framingField(&s.response.ResponseHead), zap.Int("events", s.events), zap.Duration("first_event", s.timeToFirstEvent),
		zap.Duration("longest_pause", s.longestPause), zap.Duration("expected_start", s.expectedStart), zap.Int("resumed", s.resumes),
		zap.String("last_event", s.lastEventID), zap.NamedError("cause", s.cause()), zap.NamedError("break_cause", s.breakCause))...)
	s.streaming = false
	s.finish()
	return nil
}
