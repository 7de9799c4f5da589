package callerapi

import (
	"bytes"
	"encoding/json"
	"io"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"heatherrelay/internal/adapter"
	"heatherrelay/internal/refusal"
)

// maxPrefixBytes is how many bytes from the start of a prompt are hashed for
// prefix affinity.
const maxPrefixBytes = 1024

// forwardedFields are the fields of a body that are sent to an engine unchanged.
var forwardedFields = []string{
	"prompt", "messages", "temperature", "top_p", "top_k", "min_p", "stop", "seed",
	"presence_penalty", "frequency_penalty", "repetition_penalty", "logit_bias", "response_format",
}

// ignoredFields are accepted in a body but not forwarded to an engine.
var ignoredFields = []string{
	"model", "stream", "stream_options", "max_tokens", "max_completion_tokens", "n", "user", "metadata", "store", "service_tier",
}

// modelCall is a parsed and validated request to a model.
type modelCall struct {
	adapter      adapter.ID
	stream       bool
	maxTokens    int
	promptTokens int
	prefixHash   uint64
	// body is the JSON sent to the engine.
	body []byte
}

// parseModelCall parses a body of the chat API if chat is set, else of the
// completions API. The result shares no memory with body.
func parseModelCall(body []byte, chat bool, limits Limits) (modelCall, error) {
	fields, err := parseObject(body)
	if err != nil {
		return modelCall{}, err
	}
	if err := checkFields(fields, chat); err != nil {
		return modelCall{}, err
	}
	var call modelCall
	if call.adapter, err = parseAdapter(fields); err != nil {
		return modelCall{}, err
	}
	if call.stream, err = parseBool(fields, "stream"); err != nil {
		return modelCall{}, err
	}
	if call.maxTokens, err = parseMaxTokens(fields, limits); err != nil {
		return modelCall{}, err
	}
	prompt, err := parsePrompt(fields, chat)
	if err != nil {
		return modelCall{}, err
	}
	call.promptTokens = max(1, int(math.Ceil(float64(len(prompt))/limits.BytesPerToken)))
	call.prefixHash = xxhash.Sum64(prompt[:min(len(prompt), maxPrefixBytes)])
	call.body, err = engineBody(fields, call)
	return call, err
}

// parseObject decodes a body that must hold exactly one JSON object.
func parseObject(body []byte) (map[string]any, error) {
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.UseNumber()
	var fields map[string]any
	if err := decoder.Decode(&fields); err != nil {
		return nil, refusal.NotRun(refusal.CodeInvalidRequest, "the body is not a JSON object: %v", err)
	}
	if _, err := decoder.Token(); err != io.EOF {
		return nil, refusal.NotRun(refusal.CodeInvalidRequest, "the body holds more than one JSON object")
	}
	if fields == nil {
		return nil, refusal.NotRun(refusal.CodeInvalidRequest, "the body is not a JSON object")
	}
	return fields, nil
}

// checkFields refuses fields that the API does not support, and any n but 1.
func checkFields(fields map[string]any, chat bool) error {
	otherPromptField := "messages"
	if chat {
		otherPromptField = "prompt"
	}
	for name := range fields {
		known := slices.Contains(forwardedFields, name) || slices.Contains(ignoredFields, name)
		if !known || name == otherPromptField {
			return refusal.NotRun(refusal.CodeInvalidRequest, "the field %q is not supported here", truncate(name)).WithField(truncate(name))
		}
	}
	if n, ok := fields["n"]; ok && n != nil && n != json.Number("1") {
		return refusal.NotRun(refusal.CodeInvalidRequest, "one answer a request: n must be 1").WithField("n")
	}
	return nil
}

// parseAdapter returns the adapter that the model field names as name@version.
func parseAdapter(fields map[string]any) (adapter.ID, error) {
	model, ok := fields["model"].(string)
	if !ok {
		return adapter.ID{}, refusal.NotRun(refusal.CodeInvalidRequest, "want model, as name@version").WithField("model")
	}
	id, err := adapter.ParseID(model)
	if err != nil {
		return adapter.ID{}, refusal.NotRun(refusal.CodeInvalidRequest,
			"want model as name@version, since each request names the version it runs on; have %q", truncate(model)).WithField("model")
	}
	return id, nil
}

// parseBool returns a boolean field; a missing or null one is false.
func parseBool(fields map[string]any, name string) (bool, error) {
	value, ok := fields[name]
	if !ok || value == nil {
		return false, nil
	}
	b, ok := value.(bool)
	if !ok {
		return false, refusal.NotRun(refusal.CodeInvalidRequest, "%s must be true or false", name).WithField(name)
	}
	return b, nil
}

// parseMaxTokens returns the token limit of a request, or the default if it sets
// none. max_completion_tokens takes precedence over max_tokens.
func parseMaxTokens(fields map[string]any, limits Limits) (int, error) {
	name := "max_tokens"
	if _, ok := fields["max_completion_tokens"]; ok {
		name = "max_completion_tokens"
	}
	value, ok := fields[name]
	if !ok || value == nil {
		return limits.DefaultMaxTokens, nil
	}
	number, ok := value.(json.Number)
	if !ok {
		return 0, refusal.NotRun(refusal.CodeInvalidRequest, "%s must be a whole number", name).WithField(name)
	}
	n, err := number.Int64()
	if err != nil || n < 1 || n > int64(limits.MaxTokens) {
		return 0, refusal.NotRun(refusal.CodeInvalidRequest, "%s must be a whole number from 1 to %d", name, limits.MaxTokens).WithField(name)
	}
	return int(n), nil
}

// engineBody encodes the body that is sent to the engine. Re-encoding removes the
// caller's JSON escape sequences, so that the search for leaked keys sees the
// plain text.
func engineBody(fields map[string]any, call modelCall) ([]byte, error) {
	out := make(map[string]any, len(fields))
	for _, name := range forwardedFields {
		if value, ok := fields[name]; ok {
			out[name] = value
		}
	}
	out["model"] = call.adapter.String()
	out["stream"] = true
	out["max_tokens"] = call.maxTokens
	body, err := json.Marshal(out)
	if err != nil {
		return nil, refusal.NotRun(refusal.CodeInvalidRequest, "the body cannot be encoded: %v", err)
	}
	return body, nil
}

// truncate shortens caller input that is quoted in a refusal.
func truncate(s string) string {
	const maxBytes = 80
	if len(s) > maxBytes {
		return s[:maxBytes] + "..."
	}
	return s
}
