package standin_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"heatherrelay/internal/standin"
)

// client opens a new connection for each call: on a broken keep-alive
// connection, the transport would resend a request that has an idempotency key.
var client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

func startEngine(t *testing.T, e *standin.Engine) string {
	t.Helper()
	server, err := e.Start(standin.Loopback)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := server.Close(); err != nil {
			t.Error(err)
		}
	})
	return server.URL()
}

// call sends a request with a JSON body and returns the status and the body of
// the answer. The status is zero if the connection broke.
func call(t *testing.T, method, url, body string, header ...string) (int, string) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), method, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	for i := 0; i < len(header); i += 2 {
		request.Header.Set(header[i], header[i+1])
	}
	response, err := client.Do(request)
	if err != nil {
		return 0, ""
	}
	defer response.Body.Close() //nolint:errcheck // the body is read to its end
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, string(answer)
	}
	return response.StatusCode, string(answer)
}

func mustCall(t *testing.T, method, url, body string, header ...string) string {
	t.Helper()
	status, answer := call(t, method, url, body, header...)
	if status != http.StatusOK {
		t.Fatalf("%s %s: status %d, %s", method, url, status, answer)
	}
	return answer
}

// readEvents joins the text of a stream's events and checks that their offsets
// have no gaps.
func readEvents(t *testing.T, answer string, offset int) (text string, last standin.Completion, done bool) {
	t.Helper()
	lines := bufio.NewScanner(strings.NewReader(answer))
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			done = true
			continue
		}
		var event standin.Completion
		if err := json.Unmarshal([]byte(data), &event); err != nil {
			t.Fatal(err)
		}
		if event.Offset != offset {
			t.Fatalf("offset %d, want %d", event.Offset, offset)
		}
		offset += event.Tokens
		if event.Choices[0].Text != nil {
			text += *event.Choices[0].Text
		} else {
			text += event.Choices[0].Delta.Content
		}
		last = event
	}
	return text, last, done
}

func TestEngineStreamsCompleteAnswer(t *testing.T) {
	url := startEngine(t, &standin.Engine{StepTime: time.Millisecond})
	mustCall(t, "POST", url+"/v1/adapters/load", `{"adapter":"verges@2","fencing_number":1}`)
	answer := mustCall(t, "POST", url+"/v1/chat/completions",
		`{"model":"verges@2","stream":true,"max_tokens":20,"messages":[{"role":"system","content":"a"},{"role":"user","content":"b"}]}`,
		"X-Request-Id", "r1")
	text, last, done := readEvents(t, answer, 0)
	if want := standin.Answer("verges@2", "a\nb", 20); text != want || !done {
		t.Fatalf("have %q, done %v, want %q", text, done, want)
	}
	if last.ID != "r1" || last.Model != "verges@2" || last.Usage.TotalTokens != 21 || *last.Choices[0].FinishReason != "length" {
		t.Fatalf("last event %+v", last)
	}
	rest, _, done := readEvents(t, mustCall(t, "POST", url+"/v1/streams/r1/resume?offset=7", ""), 7)
	if want := standin.Answer("verges@2", "a\nb", 20)[7*4:]; rest != want || !done {
		t.Fatalf("resumed %q, want %q", rest, want)
	}
}

func TestEngineRefusesUnloadedAdapters(t *testing.T) {
	url := startEngine(t, &standin.Engine{Slots: 1})
	if status, answer := call(t, "POST", url+"/v1/completions", `{"model":"a@1","prompt":"x"}`); status != 404 || !strings.Contains(answer, "adapter_not_loaded") {
		t.Fatalf("status %d, %s", status, answer)
	}
	mustCall(t, "POST", url+"/v1/adapters/load", `{"adapter":"a@1"}`)
	if status, answer := call(t, "POST", url+"/v1/adapters/load", `{"adapter":"b@1"}`); status != 409 || !strings.Contains(answer, "no_free_slot") {
		t.Fatalf("status %d, %s", status, answer)
	}
	answer := mustCall(t, "POST", url+"/v1/completions", `{"model":"a@1","prompt":"x"}`)
	var completion standin.Completion
	if err := json.Unmarshal([]byte(answer), &completion); err != nil {
		t.Fatal(err)
	}
	if want := standin.Answer("a@1", "x", 16); *completion.Choices[0].Text != want || completion.Usage.CompletionTokens != 16 {
		t.Fatalf("have %s, want %q", answer, want)
	}
}

func TestEngineFencing(t *testing.T) {
	for _, checks := range []bool{true, false} {
		t.Run(fmt.Sprintf("checks=%v", checks), func(t *testing.T) {
			url := startEngine(t, &standin.Engine{ChecksFencing: checks})
			mustCall(t, "POST", url+"/v1/fence", `{"fencing_number":5}`)
			want := http.StatusOK
			if checks {
				want = http.StatusConflict
			}
			if status, answer := call(t, "POST", url+"/v1/fence", `{"fencing_number":4}`); status != want {
				t.Fatalf("status %d, want %d: %s", status, want, answer)
			}
		})
	}
}

func TestEngineEvictionBreaksStreams(t *testing.T) {
	e := &standin.Engine{StepTime: time.Millisecond}
	url := startEngine(t, e)
	mustCall(t, "POST", url+"/v1/adapters/load", `{"adapter":"a@1"}`)
	broken := make(chan int)
	go func() {
		status, _ := call(t, "POST", url+"/v1/completions", `{"model":"a@1","prompt":"x","stream":true,"max_tokens":1000000}`)
		broken <- status
	}()
	for e.LoadReport(time.Now()).Running == 0 {
		time.Sleep(time.Millisecond)
	}
	mustCall(t, "POST", url+"/v1/adapters/evict", `{"adapter":"a@1"}`)
	if status := <-broken; status != 0 {
		t.Fatalf("status %d for a broken stream", status)
	}
	if stats := e.Stats(); stats.EvictedInUse != 1 || stats.Evictions != 1 {
		t.Fatalf("stats %+v", stats)
	}
}

func TestSilentConnectionsStayUpAndNewOnesWork(t *testing.T) {
	e := &standin.Engine{StepTime: time.Millisecond}
	url := startEngine(t, e)
	mustCall(t, "POST", url+"/v1/adapters/load", `{"adapter":"a@1"}`)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		call(t, "POST", url+"/v1/completions", `{"model":"a@1","prompt":"x","stream":true,"max_tokens":400}`, "X-Request-Id", "r2")
	}()
	for e.LoadReport(time.Now()).Running == 0 {
		time.Sleep(time.Millisecond)
	}
	mustCall(t, "PUT", url+"/admin/faults", `{"silent":true}`)
	text, _, done := readEvents(t, mustCall(t, "POST", url+"/v1/streams/r2/resume?offset=0", ""), 0)
	if !done || text != standin.Answer("a@1", "x", 400) {
		t.Fatalf("resumed %d bytes, done %v", len(text), done)
	}
	select {
	case <-ended:
		t.Fatal("the silent connection ended")
	default:
	}
}

func ExampleToken() {
	fmt.Println(standin.Token("verges@2", "When is the next round?", 0) == standin.Answer("verges@2", "When is the next round?", 1))
	// Output: true
}
