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
	// maxStreamBreaks is how often one stream is resumed on the same engine.
	maxStreamBreaks = 3
	// resumePause is the wait before a resume, times the number of breaks so far.
	resumePause    = 50 * time.Millisecond
	maxEventBytes  = 1 << 20
	cancelTimeout  = time.Second
	endMarker      = "[DONE]"
	eventLineStart = "data:"
)

// engineEvent is the part of a streamed event that is checked on the way.
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

// stream reads one request's answer from one engine over as many connections as
// it takes. It emits each token once and in order, or fails.
type stream struct {
	engine  *Engine
	request *Request
	fencing uint64
	emit    Emit

	next  int
	usage *Usage
	// final holds that the event with the usage was emitted.
	final bool
}

// Stream runs r on the engine and emits its answer whole. On a break it resumes
// at the first missing token. The error's kind is one of this package's, or
// that of emit or ctx; it is also of kind ErrSent when an attempt before the
// last one may have run.
func (e *Engine) Stream(ctx context.Context, r *Request, fencing uint64, emit Emit) (Usage, error) {
	s := &stream{engine: e, request: r, fencing: fencing, emit: emit, next: r.Offset}
	resume := r.Resume
	sent := r.Resume
	for breaks := 0; ; breaks++ {
		err := s.attempt(ctx, resume)
		switch {
		case err == nil:
			return *s.usage, nil
		case ErrUnknownStream.Has(err) && s.next == 0 && resume:
			resume = false
			continue
		case breaks == maxStreamBreaks || !mayResume(err, sent):
			return Usage{}, markSent(err, sent)
		}
		resume, sent = true, true
		if err := wait.Sleep(ctx, resumePause*time.Duration(breaks+1)); err != nil {
			return Usage{}, markSent(err, sent)
		}
	}
}

// mayResume reports whether the engine may hold the stream after a failure.
func mayResume(err error, sent bool) bool {
	return ErrBroken.Has(err) || (sent && ErrUnreached.Has(err))
}

func markSent(err error, sent bool) error {
	if sent {
		return ErrSent.Wrap(err)
	}
	return err
}

// attempt opens one connection's worth of the stream and reads it to its end.
func (s *stream) attempt(ctx context.Context, resume bool) error {
	req, resp := s.open(resume)
	defer fasthttp.ReleaseRequest(req)
	if err := s.engine.host().Do(req, resp); err != nil {
		fasthttp.ReleaseResponse(resp)
		return s.engine.callFailed(err)
	}
	if err := refusedBy(resp.StatusCode(), refusalBody(resp)); err != nil {
		closeStream(resp, err)
		return err
	}
	stop := context.AfterFunc(ctx, s.cancel)
	err := s.read(resp.BodyStream())
	stop()
	if ctx.Err() != nil && err != nil {
		err = ctx.Err()
	}
	closeStream(resp, err)
	if err != nil && ErrBroken.Has(err) {
		s.engine.CloseIdle()
	}
	return err
}

func (s *stream) open(resume bool) (*fasthttp.Request, *fasthttp.Response) {
	path := s.request.Path
	if resume {
		path = "/v1/streams/" + url.PathEscape(s.request.ID) + "/resume?offset=" + strconv.Itoa(s.next)
	}
	req, resp := s.engine.acquire(fasthttp.MethodPost, path)
	req.Header.Set("X-Request-Id", s.request.ID)
	req.Header.Set("X-Priority", string(s.request.Class))
	fencingHeader(req, s.fencing)
	if !resume {
		req.Header.SetContentType("application/json")
		req.SetBodyRaw(s.request.Body)
	}
	resp.StreamBody = true
	return req, resp
}

// cancel tells the engine to stop; the open read then ends by itself.
func (s *stream) cancel() {
	ctx, done := context.WithTimeout(context.Background(), cancelTimeout)
	defer done()
	if err := s.engine.Cancel(ctx, s.request.ID); err != nil {
		return
	}
}

func refusalBody(resp *fasthttp.Response) []byte {
	if resp.StatusCode() < fasthttp.StatusBadRequest {
		return nil
	}
	body, err := io.ReadAll(io.LimitReader(resp.BodyStream(), maxEventBytes))
	if err != nil {
		return nil
	}
	return body
}

// closeStream returns the connection to the pool, or closes it after an error.
func closeStream(resp *fasthttp.Response, err error) {
	defer fasthttp.ReleaseResponse(resp)
	if body, ok := resp.BodyStream().(fasthttp.ReadCloserWithError); ok && err != nil {
		_ = body.CloseWithError(err)
		return
	}
	_ = resp.CloseBodyStream()
}

// read passes on events up to the end marker.
func (s *stream) read(body io.Reader) error {
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, 0, 4096), maxEventBytes)
	for lines.Scan() {
		data, ok := bytes.CutPrefix(lines.Bytes(), []byte(eventLineStart))
		if !ok {
			continue
		}
		data = bytes.TrimSpace(data)
		if string(data) == endMarker {
			return s.finish(lines)
		}
		if err := s.event(bytes.Clone(data)); err != nil {
			return err
		}
	}
	if err := lines.Err(); err != nil {
		return ErrBroken.Wrap(err)
	}
	return ErrBroken.New("no end marker after token %d", s.next)
}

// finish reads the body's rest, so that the connection can be used again.
func (s *stream) finish(lines *bufio.Scanner) error {
	for lines.Scan() {
		continue
	}
	if s.usage == nil {
		return ErrWrongAnswer.New("end marker without usage")
	}
	return nil
}

// event checks that an event belongs to this request and continues it.
func (s *stream) event(data []byte) error {
	var event engineEvent
	if err := json.Unmarshal(data, &event); err != nil {
		return ErrBroken.Wrap(err)
	}
	switch {
	case event.Error != nil:
		return ErrBroken.New("%s: %s", event.Error.Code, event.Error.Message)
	case event.ID != s.request.ID:
		return ErrWrongAnswer.New("event of request %q", event.ID)
	case event.Model != s.request.Adapter.String():
		return ErrWrongAnswer.New("event by %q, want %q", event.Model, s.request.Adapter)
	case event.Offset > s.next:
		return ErrBroken.New("token %d after token %d", event.Offset, s.next)
	}
	return s.pass(event, data)
}

func (s *stream) pass(event engineEvent, data []byte) error {
	end := event.Offset + event.Tokens
	if event.Usage != nil {
		s.usage = &Usage{PromptTokens: event.Usage.PromptTokens, CompletionTokens: event.Usage.CompletionTokens}
	}
	repeated := event.Tokens > 0 && end <= s.next
	if repeated || (event.Usage != nil && s.final) {
		return nil
	}
	if event.Offset < s.next && event.Tokens > 0 {
		return ErrWrongAnswer.New("tokens %d to %d overlap token %d", event.Offset, end, s.next)
	}
	if err := s.emit(Chunk{Offset: event.Offset, Tokens: event.Tokens, Data: data}); err != nil {
		return err
	}
	s.next = max(s.next, end)
	s.final = event.Usage != nil
	return nil
}
