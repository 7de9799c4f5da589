package entry

import (
	"fmt"

	"heatherrelay/internal/refusal"
)

// promptOf returns the text of the prompt, or of all messages of a chat.
func promptOf(fields map[string]any, chat bool) ([]byte, error) {
	if chat {
		return messagesText(fields["messages"])
	}
	prompt, ok := fields["prompt"].(string)
	if !ok || prompt == "" {
		return nil, refusal.NotRun(refusal.CodeInvalidRequest, "want prompt, a string that is not empty").At("prompt")
	}
	return []byte(prompt), nil
}

func messagesText(value any) ([]byte, error) {
	messages, ok := value.([]any)
	if !ok || len(messages) == 0 {
		return nil, refusal.NotRun(refusal.CodeInvalidRequest, "want messages, a list that is not empty").At("messages")
	}
	var text []byte
	for i, value := range messages {
		at := fmt.Sprintf("messages[%d]", i)
		message, ok := value.(map[string]any)
		if !ok {
			return nil, refusal.NotRun(refusal.CodeInvalidRequest, "want an object with role and content").At(at)
		}
		if role, ok := message["role"].(string); !ok || role == "" {
			return nil, refusal.NotRun(refusal.CodeInvalidRequest, "want a string that is not empty").At(at + ".role")
		}
		content, ok := message["content"].(string)
		if !ok {
			return nil, refusal.NotRun(refusal.CodeInvalidRequest, "want a string").At(at + ".content")
		}
		text = append(text, content...)
	}
	return text, nil
}
