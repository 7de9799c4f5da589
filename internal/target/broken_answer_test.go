package target_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"

	"heatherrelay/internal/responsehead/headtest"
	"heatherrelay/internal/target"
)

// eventsOf returns the whole stream of an answer, with a note in each event.
func eventsOf(note string) string {
	var text strings.Builder
	for i := range streamTokens {
		_, _ = fmt.Fprintf(&text, `data: {"id":"r","model":"a@1","offset":%d,"tokens":1,"note":%q}`+"\n\n", i, note)
	}
	_, _ = fmt.Fprintf(&text, `data: {"id":"r","model":"a@1","offset":%d,"usage":{"completion_tokens":%d}}`+"\n\ndata: [DONE]\n\n", streamTokens, streamTokens)
	return text.String()
}

// TestBrokenAnswerOfAnEngineIsNone guards against events, reports and confirmations of orders
// that are taken from an answer whose head is none. A stream goes on over another connection.
func TestBrokenAnswerOfAnEngineIsNone(t *testing.T) {
	for name, text := range headtest.Broken(eventsOf("broken")) {
		t.Run(name, func(t *testing.T) {
			var calls atomic.Int64
			engine := startRawEngine(t, func(conn net.Conn) {
				if calls.Add(1) > 1 {
					text = headtest.Sound(eventsOf("sound"))
				}
				_, _ = io.WriteString(conn, text)
				_ = conn.Close()
			})
			usage, err := engine.Stream(context.Background(), streamRequest(), 1, func(c target.Chunk) error {
				if strings.Contains(string(c.Data), "broken") {
					t.Errorf("event %s", c.Data)
				}
				return nil
			})
			if err != nil || usage.CompletionTokens != streamTokens || calls.Load() != 2 {
				t.Errorf("usage %+v, error %v, %d calls", usage, err, calls.Load())
			}
		})
	}
	for name, text := range headtest.Broken(`{"running":1}`) {
		t.Run(name+", calls", func(t *testing.T) {
			engine := startRawEngine(t, func(conn net.Conn) { _, _ = io.WriteString(conn, text) })
			if report, err := engine.Report(t.Context()); !target.ErrIncompleteResponse.Has(err) {
				t.Errorf("report %+v, error %v", report, err)
			}
			if err := engine.Fence(t.Context(), 1); !target.ErrIncompleteResponse.Has(err) {
				t.Errorf("order: error %v", err)
			}
		})
	}
}

// TestUnusualAnswerOfAnEngineIsTaken guards against sound answers of an engine that are lost
// since their heads are unusual.
func TestUnusualAnswerOfAnEngineIsTaken(t *testing.T) {
	for name, text := range headtest.Unusual(eventsOf("sound")) {
		t.Run(name, func(t *testing.T) {
			var calls atomic.Int64
			engine := startRawEngine(t, func(conn net.Conn) {
				calls.Add(1)
				_, _ = io.WriteString(conn, text)
				_ = conn.Close()
			})
			usage, err := engine.Stream(context.Background(), streamRequest(), 1, func(target.Chunk) error { return nil })
			if err != nil || usage.CompletionTokens != streamTokens || calls.Load() != 1 {
				t.Errorf("usage %+v, error %v, %d calls", usage, err, calls.Load())
			}
		})
	}
}
