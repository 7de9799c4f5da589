package callerapi

import (
	"fmt"

	"heatherrelay/internal/refusal"
)

// parsePrompt returns the text of the prompt, or for the chat API the contents of
// all messages joined without separator.
func parsePrompt(fields map[string]any, chat bool) ([]byte, error) {
	if chat {
		return parseMessages(fields["messages"])
	}
	prompt, ok := fields["prompt"].(string)
	if !ok || prompt == "" {
		return nil, refusal.NotRun(refusal.CodeInvalidRequest, "want prompt, a string that is not empty").WithField("prompt")
	}
	return []byte(prompt), nil
}

// parseMessages validates the messages of a chat and joins their contents.
func parseMessages(value any) ([]byte, error) {
	messages, ok := value.([]any)
	if !ok || len(messages) == 0 {
		return nil, refusal.NotRun(refusal.CodeInvalidRequest, "want messages, a list that is not empty").WithField("messages")
	}
	var text []byte
	for i, value := range messages {
		fieldPath := fmt.Sprintf("messages[%d]", i)
		message, ok := value.(map[string]any)
		if !ok {
			return nil, refusal.NotRun(refusal.CodeInvalidRequest, "want an object with role and content").WithField(fieldPath)
		}
		if role, ok := message["role"].(string); !ok || role == "" {
			return nil, refusal.NotRun(refusal.CodeInvalidRequest, "want a string that is not empty").WithField(fieldPath + ".role")
		}
		content, ok := message["content"].(string)
		if !ok {
			return nil, refusal.NotRun(refusal.CodeInvalidRequest, "want a string").WithField(fieldPath + ".content")
		}
		text = append(text, content...)
	}
	return text, nil
}
