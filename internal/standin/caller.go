package standin

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"
)

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 1 << 20

// Caller sends model requests and plain calls, and reads each answer whole. It
// never repeats a call.
type Caller struct {
	// URL is where callers reach an instance or, without keys, an engine.
	URL string
	// Key goes into the Authorization header; empty sends none.
	Key string
	// Client is http.DefaultClient if nil.
	Client *http.Client
}

// Reply is the answer to one request.
type Reply struct {
	Status int
	Header http.Header
	// Body is the answer as it came; streams leave it empty.
	Body []byte
	// Text is the text of the whole answer or of what came of it.
	Text string
	// Model is the model that the last event or the answer names.
	Model string
	// Done says that the answer ended with its end marker, or came at once.
	Done bool
	// Refusal is set when the answer is a refusal or its stream ended in one.
	Refusal *Refusal
	// FirstToken is the time until the first text; Total that until the end.
	FirstToken time.Duration
	Total      time.Duration
}

// Refusal is why a caller got no whole answer.
type Refusal struct {
	Code         string `json:"code"`
	Message      string `json:"message"`
	NotRun       bool   `json:"not_run"`
	RequestID    string `json:"request_id"`
	RetryAfterMS int64  `json:"retry_after_ms"`
}

// refusalBody is the JSON of a refusal.
type refusalBody struct {
	Error *Refusal `json:"error"`
}

// Whole says whether the reply is the whole answer to a request.
func (r Reply) Whole(request CompletionRequest) bool {
	tokens := defaultMaxTokens
	if request.MaxTokens != nil {
		tokens = *request.MaxTokens
	}
	return r.Status == http.StatusOK && r.Done && r.Refusal == nil && r.Model == request.Model &&
		r.Text == Answer(request.Model, request.PromptText(), tokens)
}

// Complete sends a model request; one with messages is a chat. The error is that
// of the connection, which leaves open what became of the request.
func (c *Caller) Complete(ctx context.Context, request CompletionRequest) (Reply, error) {
	path := "/v1/completions"
	if len(request.Messages) > 0 {
		path = "/v1/chat/completions"
	}
	body, err := json.Marshal(request)
	if err != nil {
		return Reply{}, err
	}
	return c.Call(ctx, http.MethodPost, path, body, http.Header{"Content-Type": {"application/json"}})
}

// Call sends any request and reads the answer in the form that it has.
func (c *Caller) Call(ctx context.Context, method, path string, body []byte, header http.Header) (Reply, error) {
	started := time.Now()
	// A body without GetBody is never sent twice by the transport.
	request, err := http.NewRequestWithContext(ctx, method, c.URL+path, io.NopCloser(bytes.NewReader(body)))
	if err != nil {
		return Reply{}, err
	}
	request.ContentLength = int64(len(body))
	if len(body) == 0 {
		request.Body = http.NoBody
	}
	if header != nil {
		request.Header = header
	}
	if c.Key != "" {
		request.Header.Set("Authorization", "Bearer "+c.Key)
	}
	response, err := orDefault(c.Client, http.DefaultClient).Do(request)
	if err != nil {
		return Reply{}, err
	}
	reply := Reply{Status: response.StatusCode, Header: response.Header}
	if strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream") {
		err = reply.readStream(response.Body, started)
	} else {
		err = reply.readWhole(response.Body, started)
	}
	reply.Total = time.Since(started)
	return reply, errors.Join(err, response.Body.Close())
}

func (r *Reply) readWhole(body io.Reader, started time.Time) error {
	whole, err := io.ReadAll(body)
	if err != nil {
		return err
	}
	r.Body = whole
	r.FirstToken = time.Since(started)
	if r.Status != http.StatusOK {
		var refused refusalBody
		if err := json.Unmarshal(whole, &refused); err == nil {
			r.Refusal = refused.Error
		}
		return nil
	}
	var completion Completion
	if err := json.Unmarshal(whole, &completion); err == nil {
		r.take(completion)
	}
	r.Done = true
	return nil
}

func (r *Reply) readStream(body io.Reader, started time.Time) error {
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxEventBytes)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			r.Done = true
			continue
		}
		if err := r.readEvent([]byte(data)); err != nil {
			return err
		}
		if r.FirstToken == 0 && r.Text != "" {
			r.FirstToken = time.Since(started)
		}
	}
	return lines.Err()
}

func (r *Reply) readEvent(data []byte) error {
	var refused refusalBody
	if err := json.Unmarshal(data, &refused); err != nil {
		return err
	}
	if refused.Error != nil {
		r.Refusal = refused.Error
		return nil
	}
	var event Completion
	if err := json.Unmarshal(data, &event); err != nil {
		return err
	}
	r.take(event)
	return nil
}

func (r *Reply) take(part Completion) {
	r.Model = part.Model
	for _, choice := range part.Choices {
		switch {
		case choice.Text != nil:
			r.Text += *choice.Text
		case choice.Delta != nil:
			r.Text += choice.Delta.Content
		case choice.Message != nil:
			r.Text += choice.Message.Content
		}
	}
}
