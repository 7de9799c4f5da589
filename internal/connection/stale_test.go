package connection_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"heatherrelay/internal/connection"
	"heatherrelay/internal/loopback/loopbacktest"
)

// numberServer answers each request with its path, and writes answers once more.
type numberServer struct {
	// before is set to repeat the last answer just before the next one, else each is
	// repeated a moment after it.
	before bool
	// closes is set to close connections a moment after an answer instead.
	closes bool
	// written receives a value when the server has done all that a request makes it do.
	written chan struct{}
}

const (
	// afterAnswer is when a numberServer repeats an answer, or closes the connection.
	afterAnswer = 5 * time.Millisecond
	// writeTimeout bounds the wait until a numberServer is done with a request.
	writeTimeout = 10 * time.Second
)

func (s *numberServer) start(t *testing.T) string {
	t.Helper()
	address := loopbacktest.Serve(t, s.serve)
	return "http://" + address.String()
}

func (s *numberServer) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	last := ""
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(request.URL.Path), request.URL.Path)
		if s.before && last != "" {
			_, _ = io.WriteString(conn, last)
			time.Sleep(afterAnswer)
		}
		last = answer
		_, _ = io.WriteString(conn, answer)
		if !s.before {
			time.Sleep(afterAnswer)
		}
		switch {
		case s.closes:
			_ = conn.Close()
		case !s.before:
			_, _ = io.WriteString(conn, answer)
		}
		s.written <- struct{}{}
	}
}

// wait returns when the server has done all that a request makes it do.
func (s *numberServer) wait(t *testing.T) {
	t.Helper()
	select {
	case <-s.written:
	case <-time.After(writeTimeout):
		t.Fatal("the server is not done with the request")
	}
}

// TestRepeatedAnswerReachesNoLaterCall guards against calls that each get the answer to the
// one before, and against calls that fail, because the other end wrote an answer once more
// or closed a kept connection: a copy that comes before the next call is no answer, one that
// comes after it is the answer to one call at most.
func TestRepeatedAnswerReachesNoLaterCall(t *testing.T) {
	const calls = 10
	for name, c := range map[string]struct {
		before, closes bool
		// wrong is how many calls may get the answer to another.
		wrong int
	}{
		"after each answer":  {},
		"closed":             {closes: true},
		"before next answer": {before: true, wrong: calls / 2},
	} {
		for _, method := range []string{http.MethodGet, http.MethodPost} {
			t.Run(name+" "+method, func(t *testing.T) {
				server := &numberServer{before: c.before, closes: c.closes, written: make(chan struct{}, calls)}
				address := server.start(t)
				client := &connection.HTTPClient{Dialer: connection.Dialer{ConnectTimeout: time.Second}, MaxIdleTime: time.Minute}
				wrong := 0
				for n := range calls {
					path := fmt.Sprint("/", n)
					response, err := client.Do(context.Background(), connection.Request{Method: method, URI: address + path, Timeout: time.Second})
					if err != nil {
						t.Fatal(err)
					}
					if string(response.Body) != path {
						wrong++
					}
					server.wait(t)
					time.Sleep(afterAnswer)
				}
				if wrong > c.wrong {
					t.Errorf("%d of %d calls got another answer, want %d at most", wrong, calls, c.wrong)
				}
			})
		}
	}
}

// TestCallThatNamesItsAnswerGetsIt guards against calls that fail because a kept connection
// gave them the answer to an earlier call, which came late: whenever the next call is made,
// also before the late bytes are there.
func TestCallThatNamesItsAnswerGetsIt(t *testing.T) {
	const calls = 10
	for name, c := range map[string]struct {
		before bool
		pause  time.Duration
	}{
		"copy after each answer, at once":       {},
		"copy after each answer, a pause":       {pause: 2 * afterAnswer},
		"copy before the next answer, at once":  {before: true},
		"copy before the next answer, a pause":  {before: true, pause: 2 * afterAnswer},
		"copy before the next answer, half one": {before: true, pause: afterAnswer / 2},
	} {
		t.Run(name, func(t *testing.T) {
			server := &numberServer{before: c.before, written: make(chan struct{}, 2*calls)}
			address := server.start(t)
			client := &connection.HTTPClient{Dialer: connection.Dialer{ConnectTimeout: time.Second}, MaxIdleTime: time.Minute}
			for n := range calls {
				path := fmt.Sprint("/", n)
				response, err := client.Do(context.Background(), connection.Request{
					Method: http.MethodGet, URI: address + path, Timeout: time.Second,
					Answers: func(r connection.Response) bool { return string(r.Body) == path },
				})
				if err != nil {
					t.Fatal(err)
				}
				if string(response.Body) != path {
					t.Errorf("call %s got the answer %s", path, response.Body)
				}
				time.Sleep(c.pause)
			}
			if sent := client.Calls.Load(); sent > 2*calls {
				t.Errorf("%d calls were sent %d times", calls, sent)
			}
		})
	}
}
