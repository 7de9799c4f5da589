package target_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"heatherrelay/internal/adapter"
	"heatherrelay/internal/target"
	"heatherrelay/pkg/release"
)

const (
	streamTokens  = 6
	streamSilence = 50 * time.Millisecond
)

// fault is what goes wrong with one connection of a stream.
type fault int

const (
	faultNone fault = iota
	// faultCut closes the connection after some events.
	faultCut
	// faultNoEnd ends the body properly, but without the end marker.
	faultNoEnd
	// faultSilent keeps the connection open and sends nothing more.
	faultSilent
	// faultCrossed sends an event of another request.
	faultCrossed
	// faultWrongModel sends an event by another adapter.
	faultWrongModel
	// faultRepeat sends an event twice.
	faultRepeat
	// faultGap leaves an event out.
	faultGap
	// faultNotLoaded refuses for want of the adapter.
	faultNotLoaded
	// faultUnknown does not know the stream to resume.
	faultUnknown
	faultCount
)

// scriptedEngine answers each connection with the next fault of a script, then
// without fault. It counts the requests that it began to run.
type scriptedEngine struct {
	mu     sync.Mutex
	script []fault
	after  []int
	began  int
}

func (e *scriptedEngine) next() (fault, int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.script) == 0 {
		return faultNone, 0
	}
	f, after := e.script[0], e.after[0]
	e.script, e.after = e.script[1:], e.after[1:]
	return f, after
}

func (e *scriptedEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	if r.Method == http.MethodDelete {
		return
	}
	f, after := e.next()
	resume := strings.HasSuffix(r.URL.Path, "/resume")
	switch {
	case f == faultNotLoaded && !resume:
		refuse(w, "adapter_not_loaded")
		return
	case f == faultUnknown && resume:
		refuse(w, "unknown_stream")
		return
	}
	offset := 0
	if resume {
		_, _ = fmt.Sscan(r.URL.Query().Get("offset"), &offset)
	} else {
		e.mu.Lock()
		e.began++
		e.mu.Unlock()
	}
	e.send(w, r, f, offset, offset+after)
}

func refuse(w http.ResponseWriter, code string) {
	w.WriteHeader(http.StatusNotFound)
	_, _ = fmt.Fprintf(w, `{"error":{"code":%q}}`, code)
}

// send writes events from a token on, with the fault at token bad.
func (e *scriptedEngine) send(w http.ResponseWriter, r *http.Request, f fault, from, bad int) {
	flush := http.NewResponseController(w)
	for i := from; i < streamTokens; i++ {
		if i == bad && !e.spoil(w, r, f, i) {
			return
		}
		if i == bad && f == faultGap {
			continue
		}
		writeEvent(w, "r", "a@1", i)
		_ = flush.Flush()
	}
	_, _ = fmt.Fprintf(w, `data: {"id":"r","model":"a@1","offset":%d,"usage":{"completion_tokens":%d}}`+"\n\ndata: [DONE]\n\n", streamTokens, streamTokens)
}

// spoil does what the fault is and reports whether the answer goes on.
func (e *scriptedEngine) spoil(w http.ResponseWriter, r *http.Request, f fault, token int) bool {
	switch f {
	case faultCut:
		panic(http.ErrAbortHandler)
	case faultNoEnd:
		return false
	case faultSilent:
		<-r.Context().Done()
		return false
	case faultCrossed:
		writeEvent(w, "other", "a@1", token)
	case faultWrongModel:
		writeEvent(w, "r", "b@1", token)
	case faultRepeat:
		writeEvent(w, "r", "a@1", token)
	}
	return true
}

func writeEvent(w http.ResponseWriter, id, model string, token int) {
	_, _ = fmt.Fprintf(w, `data: {"id":%q,"model":%q,"offset":%d,"tokens":1}`+"\n\n", id, model, token)
}

// TestStreamIsWholeOrFails sends one request over connections with drawn faults.
func TestStreamIsWholeOrFails(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		script := rapid.SliceOfN(rapid.IntRange(0, int(faultCount)-1), 0, 6).Draw(rt, "script")
		engine := &scriptedEngine{}
		for _, f := range script {
			engine.script = append(engine.script, fault(f))
			engine.after = append(engine.after, rapid.IntRange(0, streamTokens-1).Draw(rt, "after"))
		}
		server := httptest.NewServer(engine)
		defer server.Close()
		client := &target.Engine{
			Address:      netip.MustParseAddrPort(server.Listener.Addr().String()),
			SilenceLimit: streamSilence,
			OrderTimeout: time.Second,
		}
		next := 0
		usage, err := client.Stream(context.Background(), streamRequest(), 1, func(c target.Chunk) error {
			if c.Tokens > 0 && c.Offset != next {
				rt.Fatalf("token %d after %d", c.Offset, next)
			}
			next += c.Tokens
			return nil
		})
		if err == nil && (next != streamTokens || usage.CompletionTokens != streamTokens) {
			rt.Fatalf("answered with %d of %d tokens", next, streamTokens)
		}
		claimsNotRun := target.ErrNotLoaded.Has(err) || target.ErrUnreached.Has(err) || target.ErrStaleFencing.Has(err)
		if claimsNotRun && !target.ErrSent.Has(err) && engine.began > 0 {
			rt.Fatalf("%v, but the engine began to run it %d times", err, engine.began)
		}
	})
}

func streamRequest() *target.Request {
	return &target.Request{
		ID:        "r",
		Class:     release.Interactive,
		Adapter:   adapter.ID{Name: "a", Version: "1"},
		Path:      "/v1/completions",
		Body:      []byte(`{}`),
		MaxTokens: streamTokens,
	}
}

// TestStreamThatBrokeIsNotCalledUnreached closes the engine after it has read
// the request.
func TestStreamThatBrokeIsNotCalledUnreached(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		_, _ = conn.Read(make([]byte, 4096))
		_ = listener.Close()
		_ = conn.Close()
	}()
	client := &target.Engine{
		Address:      netip.MustParseAddrPort(listener.Addr().String()),
		SilenceLimit: time.Second,
		OrderTimeout: time.Second,
	}
	_, err = client.Stream(context.Background(), streamRequest(), 1, func(target.Chunk) error { return nil })
	if !target.ErrSent.Has(err) {
		t.Fatalf("Stream() = %v, want an error of kind ErrSent", err)
	}
}
