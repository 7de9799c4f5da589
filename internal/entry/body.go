package entry

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

// prefixBytes is how much of a prompt's start counts for prefix affinity.
const prefixBytes = 1024

// passedFields are the fields of a body that an engine is given as they are.
var passedFields = []string{
	"prompt", "messages", "temperature", "top_p", "top_k", "min_p", "stop", "seed",
	"presence_penalty", "frequency_penalty", "repetition_penalty", "logit_bias", "response_format",
}

// droppedFields are accepted and go no further.
var droppedFields = []string{
	"model", "stream", "stream_options", "max_tokens", "max_completion_tokens", "n", "user", "metadata", "store", "service_tier",
}

// modelCall is a checked request to a model.
type modelCall struct {
	adapter    adapter.ID
	stream     bool
	maxTokens  int
	prompt     int
	prefixHash uint64
	// body is what the engine gets.
	body []byte
}

// parseModelCall reads a body of the completions API, or of the chat API. The
// result shares no memory with body.
func parseModelCall(body []byte, chat bool, limits Limits) (modelCall, error) {
	fields, err := parseObject(body)
	if err != nil {
		return modelCall{}, err
	}
	if err := checkFields(fields, chat); err != nil {
		return modelCall{}, err
	}
	var m modelCall
	if m.adapter, err = adapterOf(fields); err != nil {
		return modelCall{}, err
	}
	if m.stream, err = boolOf(fields, "stream"); err != nil {
		return modelCall{}, err
	}
	if m.maxTokens, err = maxTokensOf(fields, limits); err != nil {
		return modelCall{}, err
	}
	prompt, err := promptOf(fields, chat)
	if err != nil {
		return modelCall{}, err
	}
	m.prompt = max(1, int(math.Ceil(float64(len(prompt))/limits.BytesPerToken)))
	m.prefixHash = xxhash.Sum64(prompt[:min(len(prompt), prefixBytes)])
	m.body, err = engineBody(fields, m)
	return m, err
}

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

func checkFields(fields map[string]any, chat bool) error {
	other := "messages"
	if chat {
		other = "prompt"
	}
	for name := range fields {
		known := slices.Contains(passedFields, name) || slices.Contains(droppedFields, name)
		if !known || name == other {
			return refusal.NotRun(refusal.CodeInvalidRequest, "the field %q is not supported here", clip(name)).At(clip(name))
		}
	}
	if n, ok := fields["n"]; ok && n != nil && n != json.Number("1") {
		return refusal.NotRun(refusal.CodeInvalidRequest, "one answer a request: n must be 1").At("n")
	}
	return nil
}

func adapterOf(fields map[string]any) (adapter.ID, error) {
	model, ok := fields["model"].(string)
	if !ok {
		return adapter.ID{}, refusal.NotRun(refusal.CodeInvalidRequest, "want model, as name@version").At("model")
	}
	id, err := adapter.ParseID(model)
	if err != nil {
		return adapter.ID{}, refusal.NotRun(refusal.CodeInvalidRequest,
			"want model as name@version, since each request names the version it runs on; have %q", clip(model)).At("model")
	}
	return id, nil
}

func boolOf(fields map[string]any, name string) (bool, error) {
	value, ok := fields[name]
	if !ok || value == nil {
		return false, nil
	}
	b, ok := value.(bool)
	if !ok {
		return false, refusal.NotRun(refusal.CodeInvalidRequest, "%s must be true or false", name).At(name)
	}
	return b, nil
}

func maxTokensOf(fields map[string]any, limits Limits) (int, error) {
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
		return 0, refusal.NotRun(refusal.CodeInvalidRequest, "%s must be a whole number", name).At(name)
	}
	n, err := number.Int64()
	if err != nil || n < 1 || n > int64(limits.MaxTokens) {
		return 0, refusal.NotRun(refusal.CodeInvalidRequest, "%s must be a whole number from 1 to %d", name, limits.MaxTokens).At(name)
	}
	return int(n), nil
}

// engineBody returns the fields that an engine needs. It is encoded anew, so no
// escape sequence of the caller's is left in it.
func engineBody(fields map[string]any, m modelCall) ([]byte, error) {
	out := make(map[string]any, len(fields))
	for _, name := range passedFields {
		if value, ok := fields[name]; ok {
			out[name] = value
		}
	}
	out["model"] = m.adapter.String()
	out["stream"] = true
	out["max_tokens"] = m.maxTokens
	body, err := json.Marshal(out)
	if err != nil {
		return nil, refusal.NotRun(refusal.CodeInvalidRequest, "the body cannot be encoded: %v", err)
	}
	return body, nil
}

// clip bounds what a refusal repeats of a caller's input.
func clip(s string) string {
	const most = 80
	if len(s) > most {
		return s[:most] + "..."
	}
	return s
}
