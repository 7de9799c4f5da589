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

// fault is a fault of the scripted engine on one connection of a stream.
type fault int

const (
	faultNone fault = iota
	// faultClose closes the connection without ending the body.
	faultClose
	// faultNoEndMarker ends the body without the end marker.
	faultNoEndMarker
	// faultSilent keeps the connection open and sends no further event.
	faultSilent
	// faultWrongRequest sends an event of another request.
	faultWrongRequest
	// faultWrongModel sends an event of another adapter.
	faultWrongModel
	// faultRepeat sends an event twice.
	faultRepeat
	// faultGap leaves out an event.
	faultGap
	// faultNotLoaded refuses the request because the adapter is not loaded.
	faultNotLoaded
	// faultUnknownStream refuses a resume as if the engine did not hold the stream.
	faultUnknownStream
	faultCount
)

// scriptedEngine answers each call with the next fault of a script, and without fault
// after its end. It counts how often it started to run a request.
type scriptedEngine struct {
	mu      sync.Mutex
	script  []fault
	faultAt []int
	runs    int
}

// next removes and returns the next fault of the script, and the number of events that
// precede it.
func (e *scriptedEngine) next() (fault, int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.script) == 0 {
		return faultNone, 0
	}
	f, at := e.script[0], e.faultAt[0]
	e.script, e.faultAt = e.script[1:], e.faultAt[1:]
	return f, at
}

func (e *scriptedEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	if r.Method == http.MethodDelete {
		return
	}
	f, at := e.next()
	resume := strings.HasSuffix(r.URL.Path, "/resume")
	switch {
	case f == faultNotLoaded && !resume:
		refuse(w, "adapter_not_loaded")
		return
	case f == faultUnknownStream && resume:
		refuse(w, "unknown_stream")
		return
	}
	offset := 0
	if resume {
		_, _ = fmt.Sscan(r.URL.Query().Get("offset"), &offset)
	} else {
		e.mu.Lock()
		e.runs++
		e.mu.Unlock()
	}
	e.writeEvents(w, r, f, offset, offset+at)
}

func refuse(w http.ResponseWriter, code string) {
	w.WriteHeader(http.StatusNotFound)
	_, _ = fmt.Fprintf(w, `{"error":{"code":%q}}`, code)
}

// writeEvents writes the events from token from on, with fault f at token faultAt.
func (e *scriptedEngine) writeEvents(w http.ResponseWriter, r *http.Request, f fault, from, faultAt int) {
	flush := http.NewResponseController(w)
	for i := from; i < streamTokens; i++ {
		if i == faultAt && !e.injectFault(w, r, f, i) {
			return
		}
		if i == faultAt && f == faultGap {
			continue
		}
		writeEvent(w, "r", "a@1", i)
		_ = flush.Flush()
	}
	_, _ = fmt.Fprintf(w, `data: {"id":"r","model":"a@1","offset":%d,"usage":{"completion_tokens":%d}}`+"\n\ndata: [DONE]\n\n", streamTokens, streamTokens)
}

// injectFault carries out a fault and reports whether the response continues.
func (e *scriptedEngine) injectFault(w http.ResponseWriter, r *http.Request, f fault, token int) bool {
	switch f {
	case faultClose:
		panic(http.ErrAbortHandler)
	case faultNoEndMarker:
		return false
	case faultSilent:
		<-r.Context().Done()
		return false
	case faultWrongRequest:
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

// TestStreamIsCompleteOrFails sends one request over connections with drawn faults. It
// guards against lost, repeated or foreign tokens after a resume, and against an error
// that claims that the request did not run although the engine had started to run it.
func TestStreamIsCompleteOrFails(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		script := rapid.SliceOfN(rapid.IntRange(0, int(faultCount)-1), 0, 6).Draw(rt, "script")
		engine := &scriptedEngine{}
		for _, f := range script {
			engine.script = append(engine.script, fault(f))
			engine.faultAt = append(engine.faultAt, rapid.IntRange(0, streamTokens-1).Draw(rt, "fault_at"))
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
				rt.Fatalf("received token %d, want token %d", c.Offset, next)
			}
			next += c.Tokens
			return nil
		})
		if err == nil && (next != streamTokens || usage.CompletionTokens != streamTokens) {
			rt.Fatalf("completed with %d of %d tokens", next, streamTokens)
		}
		claimsNotRun := target.ErrNotLoaded.Has(err) || target.ErrNotSent.Has(err) || target.ErrStaleFencing.Has(err)
		if claimsNotRun && !target.ErrMayHaveRun.Has(err) && engine.runs > 0 {
			rt.Fatalf("%v, but the engine ran the request %d times", err, engine.runs)
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

// TestStreamClosedAfterRequestMayHaveRun closes the listener and the connection after
// the engine has read the request. The resumes then fail with ErrNotSent, which must
// not hide that the first attempt may have run.
func TestStreamClosedAfterRequestMayHaveRun(t *testing.T) {
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
	if !target.ErrMayHaveRun.Has(err) {
		t.Fatalf("Stream() = %v, want an error of class ErrMayHaveRun", err)
	}
}
