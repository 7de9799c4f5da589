package entry

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/gofiber/fiber/v3"

	"heatherrelay/internal/refusal"
	"heatherrelay/internal/target"
)

// usageBody is the usage block of the model APIs.
type usageBody struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// engineEvent is what entry reads of an engine's event.
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

// completionBody is the whole answer of both model APIs.
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

// whole answers a caller that did not ask for a stream.
func (s *Server) whole(c fiber.Ctx, r *caller, x execution) error {
	a := assembly{request: x.request}
	x.request.StartOver = a.startOver
	add := func(chunk target.Chunk) error {
		r.emitted()
		return a.add(chunk)
	}
	if err := x.run(add); err != nil {
		return err
	}
	body, err := a.body(r.started)
	if err != nil {
		return err
	}
	return c.JSON(body)
}

// assembly builds a whole answer from the chunks of a stream. It fails rather
// than leave a token out.
type assembly struct {
	request  target.Request
	order    order
	text     strings.Builder
	finished string
	usage    *usageBody
}

// add takes the next chunk.
func (a *assembly) add(chunk target.Chunk) error {
	if err := a.order.check(chunk); err != nil {
		return err
	}
	var e engineEvent
	if err := json.Unmarshal(chunk.Data, &e); err != nil {
		return refusal.MayHaveRun(refusal.CodeWrongAnswer, "the target's answer cannot be read").Because(err)
	}
	if e.Model != a.request.Adapter.String() {
		return refusal.MayHaveRun(refusal.CodeWrongAnswer, "the target's answer is for another adapter")
	}
	for _, choice := range e.Choices {
		a.text.WriteString(choice.Text)
		a.text.WriteString(choice.Delta.Content)
		if choice.FinishReason != nil {
			a.finished = *choice.FinishReason
		}
	}
	if e.Usage != nil {
		a.usage = e.Usage
	}
	return nil
}

// startOver forgets the chunks so far, since the request runs anew.
func (a *assembly) startOver() {
	a.order = order{}
	a.text.Reset()
	a.finished = ""
	a.usage = nil
}

// body returns the answer, or a refusal if its end is missing.
func (a *assembly) body(created time.Time) (completionBody, error) {
	if a.finished == "" || a.usage == nil {
		return completionBody{}, refusal.MayHaveRun(refusal.CodeBrokenStream, "the answer's end is missing")
	}
	choice := completionChoice{FinishReason: a.finished}
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

// order checks that chunks with tokens follow each other without gap or repeat.
type order struct {
	next int
}

func (o *order) check(chunk target.Chunk) error {
	if chunk.Tokens > 0 && chunk.Offset != o.next {
		return refusal.MayHaveRun(refusal.CodeBrokenStream, "token %d came where token %d was due", chunk.Offset, o.next)
	}
	o.next += chunk.Tokens
	return nil
}
