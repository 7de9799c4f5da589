package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"github.com/google/uuid"
)

// The values of an answer that do not depend on the request.
const (
	defaultMaxTokens = 16
	finishLength     = "length"
	endOfStream      = "data: [DONE]\n\n"
)

// CompletionRequest is the part of a request that an engine reads; a completion
// has a prompt, a chat has messages.
type CompletionRequest struct {
	Model     string    `json:"model"`
	Prompt    string    `json:"prompt,omitempty"`
	Messages  []Message `json:"messages,omitempty"`
	MaxTokens *int      `json:"max_tokens,omitempty"`
	Stream    bool      `json:"stream,omitempty"`
}

// Message is one message of a chat.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// PromptText returns the prompt, or the contents of all messages by line.
func (r CompletionRequest) PromptText() string {
	if len(r.Messages) == 0 {
		return r.Prompt
	}
	contents := make([]string, len(r.Messages))
	for i, m := range r.Messages {
		contents[i] = m.Content
	}
	return strings.Join(contents, "\n")
}

// Completion is an answer or, with an offset, one event of it.
type Completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Offset  int      `json:"offset"`
	Tokens  int      `json:"tokens"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
}

// Choice holds the text of an answer in the field that its form asks for.
type Choice struct {
	Index        int      `json:"index"`
	Text         *string  `json:"text,omitempty"`
	Delta        *Message `json:"delta,omitempty"`
	Message      *Message `json:"message,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

// Usage is what a finished request used.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	var request CompletionRequest
	if !readJSON(w, r, &request) {
		return
	}
	if err := e.checkHeader(r.Header.Get("X-Fencing-Number")); err != nil {
		writeEngineError(w, err)
		return
	}
	s := &stream{
		id:        orDefault(r.Header.Get("X-Request-Id"), uuid.NewString()),
		model:     request.Model,
		prompt:    request.PromptText(),
		chat:      strings.HasSuffix(r.URL.Path, "/chat/completions"),
		patient:   r.Header.Get("X-Priority") == "patient",
		maxTokens: defaultMaxTokens,
	}
	if request.MaxTokens != nil {
		s.maxTokens = *request.MaxTokens
	}
	s.seed = seedOf(s.model, s.prompt)
	if s.maxTokens < 1 {
		writeEngineError(w, errBadRequest.New("max_tokens: want at least 1, have %d", s.maxTokens))
		return
	}
	if err := e.add(s); err != nil {
		writeEngineError(w, err)
		return
	}
	if request.Stream {
		e.send(w, r, s, 0)
		return
	}
	e.answer(w, r, s)
}

// checkHeader checks the fencing number of a request, if it has one.
func (e *Engine) checkHeader(text string) error {
	if text == "" {
		return nil
	}
	number, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return errBadRequest.Wrap(err)
	}
	return e.checkFencing(number)
}

func (e *Engine) resume(w http.ResponseWriter, r *http.Request) {
	offset, err := number(r, "offset")
	if err != nil {
		writeEngineError(w, err)
		return
	}
	e.mu.Lock()
	s, ok := e.streams[r.PathValue("id")]
	if ok {
		e.stats.Resumes++
	}
	e.mu.Unlock()
	switch {
	case !ok:
		writeEngineError(w, errUnknownStream)
	case offset > uint64(s.maxTokens):
		writeEngineError(w, errBadRequest.New("offset: at most %d, have %d", s.maxTokens, offset))
	default:
		e.send(w, r, s, int(offset))
	}
}

func (e *Engine) cancel(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	s, ok := e.streams[r.PathValue("id")]
	if ok {
		e.stats.Cancels++
		e.drop(s, errUnknownStream)
	}
	e.mu.Unlock()
	if !ok {
		writeEngineError(w, errUnknownStream)
		return
	}
	writeJSON(w, http.StatusOK, struct {
		ID string `json:"id"`
	}{s.id})
}

// answer waits for the whole answer and sends it at once.
func (e *Engine) answer(w http.ResponseWriter, r *http.Request, s *stream) {
	e.join(s)
	defer e.leave(s)
	if err := e.await(r.Context(), s, s.maxTokens); err != nil {
		abort()
	}
	finish := finishLength
	text := s.seed.text(0, s.maxTokens)
	choice := Choice{FinishReason: &finish}
	if s.chat {
		choice.Message = &Message{Role: "assistant", Content: text}
	} else {
		choice.Text = &text
	}
	w.Header().Set("X-Request-Id", s.id)
	writeJSON(w, http.StatusOK, Completion{
		ID:      s.id,
		Object:  s.object(false),
		Model:   s.model,
		Tokens:  s.maxTokens,
		Choices: []Choice{choice},
		Usage:   s.usage(),
	})
}

// await waits until a stream has a number of tokens.
func (e *Engine) await(ctx context.Context, s *stream, tokens int) error {
	for {
		v := e.look(s)
		if v.produced >= tokens {
			return nil
		}
		if v.err != nil {
			return v.err
		}
		select {
		case <-v.changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// send streams the tokens from offset on; a broken stream ends with a closed
// connection in place of the end marker.
func (e *Engine) send(w http.ResponseWriter, r *http.Request, s *stream, offset int) {
	e.join(s)
	defer e.leave(s)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Request-Id", s.id)
	out := http.NewResponseController(w)
	for offset < s.maxTokens {
		if err := e.await(r.Context(), s, offset+1); err != nil {
			abort()
		}
		produced := e.look(s).produced
		if err := writeEvent(w, s.event(offset, produced)); err != nil {
			return
		}
		if err := out.Flush(); err != nil {
			return
		}
		offset = produced
	}
	if err := writeEvent(w, s.last()); err != nil {
		return
	}
	fmt.Fprint(w, endOfStream)
}

func writeEvent(w http.ResponseWriter, event Completion) error {
	body, err := json.Marshal(event)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(w, "data: %s\n\n", body)
	return err
}

// event returns the tokens from first up to but not including end.
func (s *stream) event(first, end int) Completion {
	text := s.seed.text(first, end)
	choice := Choice{}
	if s.chat {
		choice.Delta = &Message{Role: "assistant", Content: text}
	} else {
		choice.Text = &text
	}
	return Completion{
		ID:      s.id,
		Object:  s.object(true),
		Model:   s.model,
		Offset:  first,
		Tokens:  end - first,
		Choices: []Choice{choice},
	}
}

// last returns the event that says that the answer is whole.
func (s *stream) last() Completion {
	event := s.event(s.maxTokens, s.maxTokens)
	finish := finishLength
	event.Choices[0].FinishReason = &finish
	event.Usage = s.usage()
	return event
}

func (s *stream) usage() *Usage {
	prompt := PromptTokens(s.prompt)
	return &Usage{PromptTokens: prompt, CompletionTokens: s.maxTokens, TotalTokens: prompt + s.maxTokens}
}

func (s *stream) object(streamed bool) string {
	switch {
	case s.chat && streamed:
		return "chat.completion.chunk"
	case s.chat:
		return "chat.completion"
	}
	return "text_completion"
}
