package callerapi_test

import (
	"context"
	"net"
	"strconv"
	"strings"
	"testing"

	"heatherrelay/internal/callerapi"
	"heatherrelay/internal/refusal"
	"heatherrelay/internal/target"
)

// TestQueuedRequestIsCanceledWhenItsCallerDisconnects closes the connection of a
// request that waits for execution: the request must end as not run and cost
// nothing, instead of staying in the queue until its deadline.
func TestQueuedRequestIsCanceledWhenItsCallerDisconnects(t *testing.T) {
	for _, stream := range []string{"true", "false"} {
		queued := make(chan struct{})
		outcomes := make(chan callerapi.Outcome, 1)
		ts := start(t, func(ts *testServer) {
			ts.Observe = func(o callerapi.Outcome) { outcomes <- o }
			ts.Execute = func(ctx context.Context, _ target.Request, _ target.Emit) (target.Usage, error) {
				close(queued)
				<-ctx.Done()
				return target.Usage{}, refusal.NotRun(refusal.CodeDeadlineExceeded, "given up in the queue")
			}
		})
		conn, err := net.Dial("tcp", strings.TrimPrefix(ts.url, "http://"))
		if err != nil {
			t.Fatal(err)
		}
		body := `{"model":"mowing@1","prompt":"p","stream":` + stream + `}`
		head := "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + callerKey + "\r\nContent-Length: "
		if _, err := conn.Write([]byte(head + strconv.Itoa(len(body)) + "\r\n\r\n" + body)); err != nil {
			t.Fatal(err)
		}
		<-queued
		_ = conn.Close()
		if o := <-outcomes; o.Code != refusal.CodeCallerGone || !o.NotRun {
			t.Errorf("stream %s: outcome = %+v", stream, o)
		}
		if ts.settled[0] != 0 {
			t.Errorf("stream %s: %v tokens settled for a request that did not run", stream, ts.settled)
		}
	}
}
