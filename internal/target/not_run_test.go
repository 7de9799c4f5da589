package target_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
	"pgregory.net/rapid"

	"heatherrelay/internal/adapter"
	"heatherrelay/internal/refusal"
	"heatherrelay/internal/target"
	"heatherrelay/pkg/release"
)

// engineStep is the behaviour of the scripted engine for one call that starts a request
// or resumes its stream.
type engineStep string

const (
	// stepRun sends the complete answer.
	stepRun engineStep = "run"
	// stepDrop closes the connection without a response.
	stepDrop engineStep = "drop"
	// stepPartial closes the connection after the first token.
	stepPartial engineStep = "partial"
	// stepOutage closes the connection and refuses new ones for outageTime.
	stepOutage engineStep = "outage"
	// The steps below refuse the call with an error code.
	stepNotLoaded     engineStep = "not_loaded"
	stepUnknownStream engineStep = "unknown_stream"
	stepStaleFencing  engineStep = "stale_fencing"
	stepOverloaded    engineStep = "overloaded"
)

var steps = []engineStep{stepRun, stepDrop, stepPartial, stepOutage, stepNotLoaded, stepUnknownStream, stepStaleFencing, stepOverloaded}

const (
	socketAdapter  = "a@1"
	outageTime     = 300 * time.Millisecond
	requestTimeout = 1500 * time.Millisecond
	scriptCount    = 80
)

// socketEngine is an engine on a real TCP socket. It behaves as its script says and
// counts how often it started to run a request.
type socketEngine struct {
	address string

	mu       sync.Mutex
	listener net.Listener
	script   []engineStep
	runs     int
	trace    []string
	closed   bool
}

func startSocketEngine(t *testing.T, script []engineStep) *socketEngine {
	t.Helper()
	e := &socketEngine{script: script}
	if err := e.listen("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.closed = true
		_ = e.listener.Close()
	})
	return e
}

func (e *socketEngine) listen(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.listener, e.address = listener, listener.Addr().String()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go e.serve(conn)
		}
	}()
	return nil
}

// serve answers the calls on one connection until a step closes it.
func (e *socketEngine) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		if !e.answer(conn, request) {
			return
		}
	}
}

func (e *socketEngine) answer(conn net.Conn, request *http.Request) bool {
	switch {
	case request.URL.Path == "/v1/load":
		now := time.Now()
		report, _ := json.Marshal(target.Report{
			IssuedAt: now, StartedAt: now.Add(-time.Hour), Slots: 4, MaxBatch: 4, Resident: []string{socketAdapter},
		})
		return replyWith(conn, http.StatusOK, string(report))
	case request.URL.Path == "/v1/completions":
		return e.playStep(conn, request.Header.Get("X-Request-Id"), false)
	case strings.HasSuffix(request.URL.Path, "/resume"):
		return e.playStep(conn, request.Header.Get("X-Request-Id"), true)
	default:
		return replyWith(conn, http.StatusOK, "{}")
	}
}

// playStep answers a call according to the next step of the script, and with stepDrop
// after its end. It reports whether the connection stays open.
func (e *socketEngine) playStep(conn net.Conn, id string, resume bool) bool {
	e.mu.Lock()
	next := stepDrop
	if len(e.script) > 0 {
		next, e.script = e.script[0], e.script[1:]
	}
	runs := next == stepRun || next == stepDrop || next == stepPartial || next == stepOutage
	if runs && !resume {
		e.runs++
	}
	e.trace = append(e.trace, fmt.Sprintf("%s resume=%v", next, resume))
	e.mu.Unlock()
	switch next {
	case stepRun:
		return streamWith(conn, tokenEvent(id, 0)+tokenEvent(id, 1)+endEvent(id)+"data: [DONE]\n\n", true)
	case stepPartial:
		streamWith(conn, tokenEvent(id, 0), false)
	case stepOutage:
		e.refuseConnections()
	case stepNotLoaded:
		return replyWith(conn, http.StatusNotFound, `{"error":{"code":"adapter_not_loaded"}}`)
	case stepUnknownStream:
		return replyWith(conn, http.StatusNotFound, `{"error":{"code":"unknown_stream"}}`)
	case stepStaleFencing:
		return replyWith(conn, http.StatusConflict, `{"error":{"code":"stale_fencing"}}`)
	case stepOverloaded:
		return replyWith(conn, http.StatusServiceUnavailable, `{"error":{"code":"overloaded"}}`)
	}
	return false
}

// refuseConnections closes the listener for outageTime.
func (e *socketEngine) refuseConnections() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closed {
		return
	}
	_ = e.listener.Close()
	time.AfterFunc(outageTime, func() { _ = e.listen(e.address) })
}

func replyWith(conn net.Conn, status int, body string) bool {
	_, err := fmt.Fprintf(conn, "HTTP/1.1 %d x\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
	return err == nil
}

func streamWith(conn net.Conn, events string, complete bool) bool {
	_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(events), events)
	if complete {
		_, err = io.WriteString(conn, "0\r\n\r\n")
	}
	return err == nil
}

func tokenEvent(id string, offset int) string {
	return fmt.Sprintf("data: {\"id\":%q,\"model\":%q,\"offset\":%d,\"tokens\":1,\"choices\":[{\"text\":\"t\"}]}\n\n", id, socketAdapter, offset)
}

func endEvent(id string) string {
	return fmt.Sprintf("data: {\"id\":%q,\"model\":%q,\"offset\":2,\"tokens\":0,\"choices\":[{\"finish_reason\":\"stop\"}],"+
		"\"usage\":{\"prompt_tokens\":1,\"completion_tokens\":2}}\n\n", id, socketAdapter)
}

// TestNotRunRefusalMeansNoEngineRanTheRequest guards against a refusal marked as not
// run for a request that the engine did run, after which a caller's retry would run
// it twice. It plays scripts of engine faults and compares each refusal with the
// engine's count of runs.
func TestNotRunRefusalMeansNoEngineRanTheRequest(t *testing.T) {
	scripts := rapid.SliceOfN(rapid.SampledFrom(steps), 1, 6)
	notRun := make(chan bool, scriptCount)
	t.Run("scripts", func(t *testing.T) {
		for seed := range scriptCount {
			t.Run(fmt.Sprint(seed), func(t *testing.T) {
				t.Parallel()
				notRun <- playScript(t, scripts.Example(seed))
			})
		}
	})
	close(notRun)
	count := 0
	for n := range notRun {
		if n {
			count++
		}
	}
	if count == 0 {
		t.Error("no script led to a refusal marked as not run")
	}
}

// playScript sends one request and reports whether it was refused as not run.
func playScript(t *testing.T, script []engineStep) bool {
	engine := startSocketEngine(t, script)
	client := &target.Engine{
		Address: netip.MustParseAddrPort(engine.address), SilenceLimit: 5 * time.Second, OrderTimeout: time.Second,
	}
	owner := &target.Owner{
		TargetID: "engine", Engine: client.Calls(), FencingNumber: 1,
		Authority:   func(time.Time) target.Authority { return target.Held },
		AcquireLoad: func(context.Context) (func(), error) { return func() {}, nil },
		QueueItems:  20, QueueTokens: 10_000, ReportEvery: 50 * time.Millisecond,
		LongestRequest: time.Second, MaxReportAge: time.Second, Log: zap.NewNop(),
	}
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		owner.Run(ctx)
	}()
	defer func() {
		cancel()
		<-stopped
	}()
	request := target.Request{
		ID: "r1", Team: "regie", Class: release.Interactive, Adapter: adapter.ID{Name: "a", Version: "1"},
		Path: "/v1/completions", Body: []byte("{}"), MaxTokens: 2, Deadline: time.Now().Add(requestTimeout),
	}
	callCtx, cancelCall := context.WithDeadline(ctx, request.Deadline)
	defer cancelCall()
	_, err := owner.Execute(callCtx, request, func(target.Chunk) error { return nil })
	engine.mu.Lock()
	defer engine.mu.Unlock()
	if err == nil {
		return false
	}
	e := refusal.From(err)
	if e.NotRun && engine.runs > 0 {
		t.Errorf("the engine ran the request %d times, but it was refused as not run: %v\nscript %v, steps played %v", engine.runs, e, script, engine.trace)
	}
	return e.NotRun
}
