package gateway

import (
	"errors"
	"io"
	"mime"
	"net/http"
	"strconv"
	"strings"

	"heatherrelay/internal/deployment"
	"heatherrelay/internal/eventstream"
	"heatherrelay/internal/liveness"
	"heatherrelay/internal/upstream"
)

const (
	// eventStreamType is the media type of streams.
	eventStreamType = "text/event-stream"
	// maxBlankBytes bounds the comments between two events.
	maxBlankBytes = 64 << 10
	// confirmingTargets is how many targets must have nothing to send after an event for it
	// to count as the last one of a stream that broke off after it.
	confirmingTargets = 2
)

// eventReader reads the events of one response of a target. What is no event, such as an
// error text or the head of another response, never leaves it: the reader fails instead.
type eventReader struct {
	reader *eventstream.Reader
	// furtherFields are the fields that events may have beside the standard ones.
	furtherFields []string
	// blank holds the comments since the last event. They go to the client with the next
	// event, or at the end of the stream.
	blank []byte
}

// newEventReader returns a reader of the exchange's response.
func (e *exchange) newEventReader() *eventReader {
	reader := eventstream.NewReader(e.response)
	reader.Hold = func(bytes int) error { return e.responses.Add(int64(bytes)) }
	return &eventReader{reader: reader, furtherFields: e.server.EventFields}
}

// next returns the next event, which must follow the one with the id last. Its raw bytes
// begin with the comments before it. At the end of the stream it returns io.EOF and the
// comments after the last event. An end that is in doubt is none within an event.
func (r *eventReader) next(last string) (eventstream.Event, error) {
	for {
		event, err := r.reader.Next()
		switch {
		case errors.Is(err, io.EOF):
			return eventstream.Event{Raw: r.blank}, err
		case err != nil && len(event.Raw) > 0 && endInDoubt(err):
			return event, eventstream.ErrTruncated.New("%d bytes before the end of the connection", len(event.Raw))
		case err != nil:
			return event, err
		case event.Blank():
			if r.blank = append(r.blank, event.Raw...); len(r.blank) > maxBlankBytes {
				return event, eventstream.ErrMalformed.New("comments of more than %d bytes", maxBlankBytes)
			}
			continue
		}
		if err := event.Check(r.furtherFields...); err != nil {
			return event, err
		}
		if !inOrder(last, event.ID) {
			return event, errStream.New("event id %.40q received after %.40q", event.ID, last)
		}
		event.Raw, r.blank = append(r.blank, event.Raw...), nil
		return event, nil
	}
}

// inOrder reports whether an event id is a number, and may follow another one. After a
// number comes a larger one; a client that resumes a stream may name an id that is none.
func inOrder(last, next string) bool {
	after, err := strconv.ParseUint(next, 10, 64)
	if err != nil {
		return false
	}
	before, err := strconv.ParseUint(last, 10, 64)
	return err != nil || after > before
}

// wantsEvents reports whether the request asks for the events of a stream.
func (e *exchange) wantsEvents() bool {
	return e.route.Kind == deployment.Streaming && e.request.Method != http.MethodHead
}

// isStream reports whether a success is a stream of events, as far as its head tells. A head
// that states no type is judged by its events.
func isStream(head *upstream.ResponseHead) bool {
	if head.Status != http.StatusOK {
		return false
	}
	for _, h := range head.Headers {
		if strings.EqualFold(h.Name, "Content-Type") {
			mediaType, _, err := mime.ParseMediaType(h.Value)
			return err == nil && mediaType == eventStreamType
		}
	}
	return true
}

// errNothingLeft means that a target ended its response without an event.
var errNothingLeft = upstream.ErrIncompleteResponse.New("the response ended before an event")

// checkStreamEnd returns the error of reading an event of the current target. The end of a
// response without an event is not the end of a stream: a stream that begins has events, and
// of one that goes on a target that has nothing to send may have lost the rest. It counts as
// complete once several targets have nothing left after the last event. One that ended between
// two events, and of whose process nothing is known, counts among them. After one that broke off
// nobody's word counts in this response: its client may take the stream up.
func (e *exchange) checkStreamEnd(event eventstream.Event, err error) error {
	switch {
	case err == nil:
	case !errors.Is(err, io.EOF):
		e.observeEnd(err)
		switch {
		case e.lastEventID == "" || e.firstEventAt.IsZero():
		case len(event.Raw) == 0 && liveness.ErrUndecided.Has(err):
			e.recordNothingLeft(e.target.ID, e.lastEventID)
		default:
			e.recordCut(e.lastEventID)
		}
	case !e.firstEventAt.IsZero():
		e.recordSound()
	case e.lastEventID == "" || e.recordNothingLeft(e.target.ID, e.lastEventID) < confirmingTargets:
		return errNothingLeft
	}
	return err
}

// streamRest is which targets have nothing to send after an event.
type streamRest struct {
	after   string
	nothing map[deployment.TargetID]bool
	// cutAfter is the event after which a target broke the stream off.
	cutAfter string
}

// recordCut records that a target broke the stream off after an event.
func (p *progress) recordCut(after string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rest.cutAfter = after
}

// recordNothingLeft records that a target has nothing to send after an event, and returns
// how many targets have not, as far as their word counts.
func (p *progress) recordNothingLeft(target deployment.TargetID, after string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.rest.after != after || p.rest.nothing == nil {
		p.rest = streamRest{after: after, nothing: map[deployment.TargetID]bool{}, cutAfter: p.rest.cutAfter}
	}
	if p.rest.cutAfter == after {
		return 0
	}
	p.rest.nothing[target] = true
	return len(p.rest.nothing)
}
