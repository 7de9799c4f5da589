package callerapi

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/gofiber/fiber/v3"

	"heatherrelay/internal/refusal"
	"heatherrelay/internal/target"
)

// usageBody is the usage object in the responses of the model APIs.
type usageBody struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// engineEvent holds the fields of an engine's event that this package reads.
type engineEvent struct {
	Model   string         `json:"model"`
	Choices []engineChoice `json:"choices"`
	Usage   *usageBody     `json:"usage"`
}

type engineChoice struct {
	Text         string      `json:"text"`
	Delta        engineDelta `json:"delta"`
	FinishReason *string     `json:"finish_reason"`
}

type engineDelta struct {
	Content string `json:"content"`
}

// completionBody is the body of a non-streaming response of both model APIs.
type completionBody struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Created int64              `json:"created"`
	Model   string             `json:"model"`
	Choices []completionChoice `json:"choices"`
	Usage   usageBody          `json:"usage"`
}

type completionChoice struct {
	Index        int          `json:"index"`
	Text         *string      `json:"text,omitempty"`
	Message      *chatMessage `json:"message,omitempty"`
	FinishReason string       `json:"finish_reason"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// answerComplete runs the request and writes the complete answer as one JSON
// body, for a caller that did not ask for a stream.
func (s *Server) answerComplete(c fiber.Ctx, r *activeRequest, x execution) error {
	builder := answerBuilder{request: x.request}
	x.request.DiscardEmitted = builder.reset
	emit := func(chunk target.Chunk) error {
		r.recordFirstToken()
		return builder.add(chunk)
	}
	if err := x.run(emit); err != nil {
		return err
	}
	body, err := builder.body(r.started)
	if err != nil {
		return err
	}
	return c.JSON(body)
}

// answerBuilder assembles a complete answer from the chunks of a stream. It
// fails rather than omit a token.
type answerBuilder struct {
	request      target.Request
	offsets      offsetChecker
	text         strings.Builder
	finishReason string
	usage        *usageBody
}

// add appends the next chunk. It fails if the chunk does not follow the previous
// one, cannot be decoded or is for another adapter.
func (a *answerBuilder) add(chunk target.Chunk) error {
	if err := a.offsets.check(chunk); err != nil {
		return err
	}
	var event engineEvent
	if err := json.Unmarshal(chunk.Data, &event); err != nil {
		return refusal.MayHaveRun(refusal.CodeWrongAnswer, "the target's answer cannot be read").WithCause(err)
	}
	if event.Model != a.request.Adapter.String() {
		return refusal.MayHaveRun(refusal.CodeWrongAnswer, "the target's answer is for another adapter")
	}
	for _, choice := range event.Choices {
		a.text.WriteString(choice.Text)
		a.text.WriteString(choice.Delta.Content)
		if choice.FinishReason != nil {
			a.finishReason = *choice.FinishReason
		}
	}
	if event.Usage != nil {
		a.usage = event.Usage
	}
	return nil
}

// reset discards all chunks added so far, because the request is run again.
func (a *answerBuilder) reset() {
	a.offsets = offsetChecker{}
	a.text.Reset()
	a.finishReason = ""
	a.usage = nil
}

// body returns the complete answer, or a refusal if the stream ended without a
// finish reason or without usage.
func (a *answerBuilder) body(created time.Time) (completionBody, error) {
	if a.finishReason == "" || a.usage == nil {
		return completionBody{}, refusal.MayHaveRun(refusal.CodeBrokenStream, "the answer's end is missing")
	}
	choice := completionChoice{FinishReason: a.finishReason}
	object := "text_completion"
	text := a.text.String()
	if a.request.Path == chatPath {
		object = "chat.completion"
		choice.Message = &chatMessage{Role: "assistant", Content: text}
	} else {
		choice.Text = &text
	}
	return completionBody{
		ID:      a.request.ID,
		Object:  object,
		Created: created.Unix(),
		Model:   a.request.Adapter.String(),
		Choices: []completionChoice{choice},
		Usage:   *a.usage,
	}, nil
}

// offsetChecker checks that the tokens of a stream arrive without gap or repeat.
// Chunks without tokens are not checked.
type offsetChecker struct {
	nextOffset int
}

// check returns a refusal unless chunk continues at the next expected offset.
func (o *offsetChecker) check(chunk target.Chunk) error {
	if chunk.Tokens > 0 && chunk.Offset != o.nextOffset {
		return refusal.MayHaveRun(refusal.CodeBrokenStream, "token %d came where token %d was due", chunk.Offset, o.nextOffset)
	}
	o.nextOffset += chunk.Tokens
	return nil
}
