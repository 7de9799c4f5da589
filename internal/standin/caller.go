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

// maxEventBytes bounds the size of one event of a stream.
const maxEventBytes = 1 << 20

// Caller sends model requests and service calls, and reads each answer to its
// end. It never retries.
type Caller struct {
	// URL is the base URL of an instance or, without a key, of an engine.
	URL string
	// Key is sent in the Authorization header; if empty, the header is not set.
	Key string
	// Client sends the requests; nil selects http.DefaultClient.
	Client *http.Client
}

// Reply is the answer to one request.
type Reply struct {
	Status int
	Header http.Header
	// Body is the raw body; it is empty for streams.
	Body []byte
	// Text is the text received, which is partial if the answer broke off.
	Text string
	// Model is the model named in the body or in the last event.
	Model string
	// Done is set when a stream ended with its end marker or an unstreamed body
	// was read with status 200.
	Done bool
	// Refusal is set when the answer is a refusal, or a stream ended with one.
	Refusal *Refusal
	// FirstToken is the time from the start of the call to the first text, Total
	// to the end of the answer.
	FirstToken time.Duration
	Total      time.Duration
}

// Refusal describes why a request was refused.
type Refusal struct {
	Code         string `json:"code"`
	Message      string `json:"message"`
	NotRun       bool   `json:"not_run"`
	RequestID    string `json:"request_id"`
	RetryAfterMS int64  `json:"retry_after_ms"`
}

// refusalBody is the JSON body of a refusal.
type refusalBody struct {
	Error *Refusal `json:"error"`
}

// IsComplete reports whether the reply is the correct and complete answer to a
// request.
func (r Reply) IsComplete(request CompletionRequest) bool {
	tokens := defaultMaxTokens
	if request.MaxTokens != nil {
		tokens = *request.MaxTokens
	}
	return r.Status == http.StatusOK && r.Done && r.Refusal == nil && r.Model == request.Model &&
		r.Text == Answer(request.Model, request.PromptText(), tokens)
}

// Complete sends a model request, as a chat if it has messages. An error means
// that the connection failed; whether the request ran is then unknown.
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

// Call sends a request and reads the answer as a stream or as one body,
// depending on its content type.
func (c *Caller) Call(ctx context.Context, method, path string, body []byte, header http.Header) (Reply, error) {
	started := time.Now()
	// Without GetBody, the transport cannot resend the body on its own.
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
		err = reply.readBody(response.Body, started)
	}
	reply.Total = time.Since(started)
	return reply, errors.Join(err, response.Body.Close())
}

func (r *Reply) readBody(body io.Reader, started time.Time) error {
	content, err := io.ReadAll(body)
	if err != nil {
		return err
	}
	r.Body = content
	r.FirstToken = time.Since(started)
	if r.Status != http.StatusOK {
		var refused refusalBody
		if err := json.Unmarshal(content, &refused); err == nil {
			r.Refusal = refused.Error
		}
		return nil
	}
	var completion Completion
	if err := json.Unmarshal(content, &completion); err == nil {
		r.appendPart(completion)
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
	r.appendPart(event)
	return nil
}

func (r *Reply) appendPart(part Completion) {
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
