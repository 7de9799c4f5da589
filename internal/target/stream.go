package target

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/url"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"heatherrelay/internal/wait"
)

const (
	// maxStreamResumes bounds how often a stream is resumed on the same engine.
	maxStreamResumes = 3
	// resumeBackoff is the delay before the first resume. It grows by the same amount
	// with every further one.
	resumeBackoff = 50 * time.Millisecond
	maxEventBytes = 1 << 20
	cancelTimeout = time.Second
	endMarker     = "[DONE]"
	dataPrefix    = "data:"
)

// engineEvent holds the fields of a streamed event that are checked before the event
// is emitted.
type engineEvent struct {
	ID     string `json:"id"`
	Model  string `json:"model"`
	Offset int    `json:"offset"`
	Tokens int    `json:"tokens"`
	Usage  *struct {
		PromptTokens     int `json:"prompt_tokens"`
		CompletionTokens int `json:"completion_tokens"`
	} `json:"usage"`
	Error *struct {
		Code    string `json:"code"`
		Message string `json:"message"`
	} `json:"error"`
}

// stream reads the answer to one request from one engine, if necessary over several
// connections. It emits each token once and in order, or fails.
type stream struct {
	engine  *Engine
	request *Request
	fencing uint64
	emit    Emit

	nextToken int
	usage     *Usage
	// usageEmitted is set once the event with the usage has been emitted.
	usageEmitted bool
}

// Stream executes r on the engine and emits its complete answer. If the connection
// fails, it resumes at the first missing token. Its errors are of the classes of this
// package, or come from emit or ctx. They are also of class ErrMayHaveRun if an
// attempt before the last one may have executed the request.
func (e *Engine) Stream(ctx context.Context, r *Request, fencing uint64, emit Emit) (Usage, error) {
	s := &stream{engine: e, request: r, fencing: fencing, emit: emit, nextToken: r.Offset}
	resume := r.Resume
	mayHaveRun := r.Resume
	for breaks := 0; ; breaks++ {
		err := s.attempt(ctx, resume)
		switch {
		case err == nil:
			return *s.usage, nil
		case ErrUnknownStream.Has(err) && s.nextToken == 0 && resume:
			resume = false
			continue
		case breaks == maxStreamResumes || !mayResume(err, mayHaveRun):
			return Usage{}, markMayHaveRun(err, mayHaveRun)
		}
		resume, mayHaveRun = true, true
		if err := wait.Sleep(ctx, resumeBackoff*time.Duration(breaks+1)); err != nil {
			return Usage{}, markMayHaveRun(err, mayHaveRun)
		}
	}
}

// mayResume reports whether the engine may hold the stream after err, so that it can
// be resumed.
func mayResume(err error, earlierMayHaveRun bool) bool {
	return ErrIncompleteResponse.Has(err) || (earlierMayHaveRun && ErrNotSent.Has(err))
}

// markMayHaveRun adds ErrMayHaveRun to err if an earlier attempt may have run.
func markMayHaveRun(err error, earlierMayHaveRun bool) error {
	if earlierMayHaveRun {
		return ErrMayHaveRun.Wrap(err)
	}
	return err
}

// attempt sends the request, or a resume of its stream, and reads the response to its
// end.
func (s *stream) attempt(ctx context.Context, resume bool) error {
	req, resp := s.newRequest(resume)
	defer fasthttp.ReleaseRequest(req)
	if err := s.engine.streamClient().Do(req, resp); err != nil {
		fasthttp.ReleaseResponse(resp)
		return s.engine.classifyCallError(err)
	}
	if err := responseError(resp.StatusCode(), readErrorBody(resp)); err != nil {
		closeStream(resp, err)
		return err
	}
	stop := context.AfterFunc(ctx, s.cancel)
	err := s.readEvents(resp.BodyStream())
	stop()
	if ctx.Err() != nil && err != nil {
		err = ctx.Err()
	}
	closeStream(resp, err)
	if err != nil && ErrIncompleteResponse.Has(err) {
		s.engine.CloseIdle()
	}
	return err
}

func (s *stream) newRequest(resume bool) (*fasthttp.Request, *fasthttp.Response) {
	path := s.request.Path
	if resume {
		path = "/v1/streams/" + url.PathEscape(s.request.ID) + "/resume?offset=" + strconv.Itoa(s.nextToken)
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI(s.engine.uri(path))
	req.Header.Set("X-Request-Id", s.request.ID)
	req.Header.Set("X-Priority", string(s.request.Class))
	setFencingHeader(req, s.fencing)
	if !resume {
		req.Header.SetContentType("application/json")
		req.SetBodyRaw(s.request.Body)
	}
	return req, resp
}

// cancel tells the engine to stop the stream. The engine then ends the response, and
// with it the read in progress. If the cancellation fails, that read continues until
// the response ends or the connection fails.
func (s *stream) cancel() {
	ctx, done := context.WithTimeout(context.Background(), cancelTimeout)
	defer done()
	if err := s.engine.Cancel(ctx, s.request.ID); err != nil {
		return
	}
}

// readErrorBody reads the body of an error response, up to maxEventBytes; nil for any
// other response.
func readErrorBody(resp *fasthttp.Response) []byte {
	if resp.StatusCode() < fasthttp.StatusBadRequest {
		return nil
	}
	body, err := io.ReadAll(io.LimitReader(resp.BodyStream(), maxEventBytes))
	if err != nil {
		return nil
	}
	return body
}

// closeStream returns the connection to the pool, or closes it if err is not nil.
func closeStream(resp *fasthttp.Response, err error) {
	defer fasthttp.ReleaseResponse(resp)
	if body, ok := resp.BodyStream().(fasthttp.ReadCloserWithError); ok && err != nil {
		_ = body.CloseWithError(err)
		return
	}
	_ = resp.CloseBodyStream()
}

// readEvents emits the events of a response up to its end marker.
func (s *stream) readEvents(body io.Reader) error {
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, 0, 4096), maxEventBytes)
	for lines.Scan() {
		data, ok := bytes.CutPrefix(lines.Bytes(), []byte(dataPrefix))
		if !ok {
			continue
		}
		data = bytes.TrimSpace(data)
		if string(data) == endMarker {
			return s.drain(lines)
		}
		if err := s.handleEvent(bytes.Clone(data)); err != nil {
			return err
		}
	}
	if err := lines.Err(); err != nil {
		return ErrIncompleteResponse.Wrap(err)
	}
	return ErrIncompleteResponse.New("response ended without end marker, next token %d", s.nextToken)
}

// drain reads the rest of the body, so that the connection can be reused, and checks
// that the usage has been received.
func (s *stream) drain(lines *bufio.Scanner) error {
	for lines.Scan() {
		continue
	}
	if s.usage == nil {
		return ErrWrongAnswer.New("end marker without a preceding usage")
	}
	return nil
}

// handleEvent checks that an event belongs to this request and leaves no gap in the
// tokens, and emits it.
func (s *stream) handleEvent(data []byte) error {
	var event engineEvent
	if err := json.Unmarshal(data, &event); err != nil {
		return ErrIncompleteResponse.Wrap(err)
	}
	switch {
	case event.Error != nil:
		return ErrIncompleteResponse.New("%s: %s", event.Error.Code, event.Error.Message)
	case event.ID != s.request.ID:
		return ErrWrongAnswer.New("event belongs to request %q", event.ID)
	case event.Model != s.request.Adapter.String():
		return ErrWrongAnswer.New("event is from model %q, want %q", event.Model, s.request.Adapter)
	case event.Offset > s.nextToken:
		return ErrIncompleteResponse.New("event starts at token %d, want token %d", event.Offset, s.nextToken)
	}
	return s.emitEvent(event, data)
}

// emitEvent emits an event, unless all its tokens or its usage were emitted before,
// as happens after a resume.
func (s *stream) emitEvent(event engineEvent, data []byte) error {
	end := event.Offset + event.Tokens
	if event.Usage != nil {
		s.usage = &Usage{PromptTokens: event.Usage.PromptTokens, CompletionTokens: event.Usage.CompletionTokens}
	}
	alreadyEmitted := event.Tokens > 0 && end <= s.nextToken
	if alreadyEmitted || (event.Usage != nil && s.usageEmitted) {
		return nil
	}
	if event.Offset < s.nextToken && event.Tokens > 0 {
		return ErrWrongAnswer.New("event with tokens from %d up to %d contains some emitted before, next token %d", event.Offset, end, s.nextToken)
	}
	if err := s.emit(Chunk{Offset: event.Offset, Tokens: event.Tokens, Data: data}); err != nil {
		return err
	}
	s.nextToken = max(s.nextToken, end)
	s.usageEmitted = event.Usage != nil
	return nil
}
