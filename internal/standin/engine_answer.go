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

// defaultMaxTokens is the length of an answer to a request without max_tokens.
// Every answer ends with the finish reason finishLength, and every complete
// stream with endOfStream.
const (
	defaultMaxTokens = 16
	finishLength     = "length"
	endOfStream      = "data: [DONE]\n\n"
)

// CompletionRequest holds the fields of a request that an engine reads. A
// completion has a prompt, a chat has messages.
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

// PromptText returns the prompt, or the contents of all messages joined by
// newlines.
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

// Completion is a complete answer or one event of a streamed answer. In an
// event, Offset is the index of its first token.
type Completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Offset  int      `json:"offset"`
	Tokens  int      `json:"tokens"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
}

// Choice holds the text of an answer: in Text for a completion, in Message for
// a chat and in Delta for an event of a streamed chat.
type Choice struct {
	Index        int      `json:"index"`
	Text         *string  `json:"text,omitempty"`
	Delta        *Message `json:"delta,omitempty"`
	Message      *Message `json:"message,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

// Usage is the number of tokens that a finished request used.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

func (e *Engine) handleCompletion(w http.ResponseWriter, r *http.Request) {
	var request CompletionRequest
	if !readJSON(w, r, &request) {
		return
	}
	if err := e.checkFencingHeader(r.Header.Get("X-Fencing-Number")); err != nil {
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
	s.seed = newSeed(s.model, s.prompt)
	if s.maxTokens < 1 {
		writeEngineError(w, errBadRequest.New("max_tokens: want at least 1, have %d", s.maxTokens))
		return
	}
	if err := e.addStream(s); err != nil {
		writeEngineError(w, err)
		return
	}
	if request.Stream {
		e.streamAnswer(w, r, s, 0)
		return
	}
	e.writeAnswer(w, r, s)
}

// checkFencingHeader checks the fencing number in a request's header; an empty
// header passes.
func (e *Engine) checkFencingHeader(text string) error {
	if text == "" {
		return nil
	}
	number, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return errBadRequest.Wrap(err)
	}
	return e.checkFencing(number)
}

func (e *Engine) handleResume(w http.ResponseWriter, r *http.Request) {
	offset, err := queryNumber(r, "offset")
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
		e.streamAnswer(w, r, s, int(offset))
	}
}

func (e *Engine) handleCancel(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	s, ok := e.streams[r.PathValue("id")]
	if ok {
		e.stats.Cancels++
		e.dropStream(s, errUnknownStream)
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

// writeAnswer waits until the stream has finished and writes its answer as one
// JSON body.
func (e *Engine) writeAnswer(w http.ResponseWriter, r *http.Request, s *stream) {
	e.addReader(s)
	defer e.removeReader(s)
	if err := e.awaitTokens(r.Context(), s, s.maxTokens); err != nil {
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

// awaitTokens waits until a stream has generated at least the given number of
// tokens, and returns an error if the stream or the context ends before.
func (e *Engine) awaitTokens(ctx context.Context, s *stream, tokens int) error {
	for {
		state := e.stateOf(s)
		if state.produced >= tokens {
			return nil
		}
		if state.err != nil {
			return state.err
		}
		select {
		case <-state.changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// streamAnswer sends the tokens from offset on as server-sent events. A stream
// that breaks ends with a closed connection instead of the end marker.
func (e *Engine) streamAnswer(w http.ResponseWriter, r *http.Request, s *stream, offset int) {
	e.addReader(s)
	defer e.removeReader(s)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Request-Id", s.id)
	out := http.NewResponseController(w)
	for offset < s.maxTokens {
		if err := e.awaitTokens(r.Context(), s, offset+1); err != nil {
			abort()
		}
		produced := e.stateOf(s).produced
		if err := writeEvent(w, s.event(offset, produced)); err != nil {
			return
		}
		if err := out.Flush(); err != nil {
			return
		}
		offset = produced
	}
	if err := writeEvent(w, s.finalEvent()); err != nil {
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

// event returns an event with the tokens in the half-open range [first, end).
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

// finalEvent returns the event that marks the answer as complete.
func (s *stream) finalEvent() Completion {
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
