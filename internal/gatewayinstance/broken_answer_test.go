package gatewayinstance_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"
)

// brokenFields are what a broken answer has of the target's fields; they hold a request's id
// in place of ID.
const brokenFields = "Content-Type: text/event-stream\r\nRequest-Id: ID\r\nResponse-Seal: seal-ID\r\n"

// brokenBody is the body of a broken answer; no sound answer has it.
const brokenBody = "id: 1\ndata: broken\n\n"

// withLength returns a head with a status line and further lines, and a body of its length.
func withLength(statusLine, lines string) string {
	return fmt.Sprintf("%s\r\n%s%sContent-Length: %d\r\n\r\n%s", statusLine, brokenFields, lines, len(brokenBody), brokenBody)
}

// answersOfNoStatus are answers whose status is none.
func answersOfNoStatus() map[string]string {
	const interim = "HTTP/1.1 100 Continue\r\n\r\n"
	answers := map[string]string{
		"000 unframed":      "HTTP/1.1 000 OK\r\n" + brokenFields + "\r\n" + brokenBody,
		"000 after 100":     interim + withLength("HTTP/1.1 000 OK", ""),
		"000 is refusal":    withLength("HTTP/1.1 000 OK", "Not-Executed: 1\r\n"),
		"000 without words": withLength("HTTP/1.1 000", ""),
	}
	for _, status := range []string{"000", "001", "099", "600", "999"} {
		answers[status] = withLength("HTTP/1.1 "+status+" Odd", "")
	}
	return answers
}

// brokenCase is a request whose first answer is broken.
type brokenCase struct {
	name, path, body string
	through          *instance
	// logged is set if the logs of the instance are kept.
	logged bool
}

// brokenRoutes are instances by how they reach the targets.
func (c *testCluster) brokenRoutes() map[string]brokenCase {
	c.t.Helper()
	process := c.startKillableInstance()
	return map[string]brokenCase{
		"directly":       {through: c.instances[0], logged: true},
		"in a process":   {through: process},
		"through a peer": {through: c.startInstanceBehindPeer(), logged: true},
	}
}

// checkBroken sends a request whose first answer is broken. It must get the answer of the
// next target if it may be repeated, else at once a failure that promises nothing. The log
// must name the cause.
func (c *testCluster) checkBroken(t *testing.T, a *arrivals, way string, b brokenCase, cause string) {
	t.Helper()
	id := strings.ReplaceAll(b.name+"/"+way, " ", "_") + b.path
	sentAt := time.Now()
	got := c.sendBody(b.through, http.MethodPost, b.path, b.body, func(h http.Header) { h.Set("Request-Id", id) })
	fine := got.err == nil && got.status == http.StatusOK && got.body == pieces(1, 3)
	if b.path == "/draft/" || b.path == "/post/" {
		fine = got.err == nil && got.status == http.StatusBadGateway && got.header.Get("Response-Seal") == "" && got.header.Get("Retry-After") == ""
	}
	if after := time.Since(sentAt); !fine || after > answerObjective {
		t.Errorf("%s, %s, %s: status %d, header %v, error %v, body %.200q after %s; at %v; logged: %s", b.name, way, b.path, got.status, got.header, got.err, got.body, after, a.of(id), c.logged(id))
	}
	if b.logged && !strings.Contains(c.logged(id), cause) {
		t.Errorf("%s, %s, %s: the log lacks %q: %s", b.name, way, b.path, cause, c.logged(id))
	}
}

// checkBrokenAnswers sends a request for each broken answer, by each way, on each route.
func checkBrokenAnswers(t *testing.T, answers map[string]string, cause string) {
	c, a := newScriptedCluster(t, scriptedTargets, 2, func(attempt int, w http.ResponseWriter, r *http.Request) {
		name, _, _ := strings.Cut(r.Header.Get("Request-Id"), "/")
		if text, ok := answers[strings.ReplaceAll(name, "_", " ")]; ok && attempt == 1 {
			writeBroken(w, r, text)
			return
		}
		writeEvents(w, 1, 3)
	})
	for way, b := range c.brokenRoutes() {
		t.Run(way, func(t *testing.T) {
			t.Parallel()
			for name := range answers {
				for _, path := range allPaths {
					b.name, b.path, b.body = name, path, newBody()
					c.checkBroken(t, a, way, b, cause)
				}
			}
		})
	}
}

// writeBroken answers with the bytes of a broken answer, and closes the connection.
func writeBroken(w http.ResponseWriter, r *http.Request, text string) {
	_, _ = io.Copy(io.Discard, r.Body)
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	_, _ = io.WriteString(conn, strings.ReplaceAll(text, "ID", r.Header.Get("Request-Id")))
}

// TestAnswerOfNoStatusIsNone guards against an answer with a status that is none, such as 000,
// that a client gets as an answer (MIXED).
func TestAnswerOfNoStatusIsNone(t *testing.T) {
	t.Parallel()
	checkBrokenAnswers(t, answersOfNoStatus(), "status")
}

// answersOfOddNames are answers with a line whose field name is none.
func answersOfOddNames() map[string]string {
	const status = "HTTP/1.1 200 OK"
	answers := map[string]string{
		"length with blank":        status + "\r\n" + brokenFields + "Content-Length : 1\r\n\r\n" + brokenBody,
		"chunks with blank":        status + "\r\n" + brokenFields + "Transfer-Encoding : chunked\r\n\r\n" + brokenBody,
		"length, and one in blank": withLength(status, "Content-Length : 1\r\n"),
		"blank first":              status + "\r\n X-Note: a\r\n" + brokenFields + "\r\n" + brokenBody,
		"blank later":              withLength(status, "X-Note: a\r\n X-Other: b\r\n"),
		"tab later":                withLength(status, "X-Note: a\r\n\tX-Other: b\r\n"),
		"length after blank":       status + "\r\n" + brokenFields + " Content-Length: 1\r\n\r\n" + brokenBody,
		"after 100":                "HTTP/1.1 100 Continue\r\n\r\n" + withLength(status, "X Note: a\r\n"),
		"in 103":                   "HTTP/1.1 103 Early Hints\r\nX Note: a\r\n\r\n" + withLength(status, ""),
		"failure":                  withLength("HTTP/1.1 500 Internal Server Error", "X Note: a\r\n"),
		"refusal":                  withLength("HTTP/1.1 503 Service Unavailable", "X Note: a\r\nNot-Executed: 1\r\n"),
	}
	for name, field := range map[string]string{
		"blank within": "X Note", "blank at end": "X-Note ", "blanks at end": "X-Note  ", "tab within": "X\tNote", "tab at end": "X-Note\t",
		"NUL": "X\x00Note", "control": "X\x01Note", "escape": "X\x1bNote", "delete": "X\x7fNote", "carriage return": "X\rNote", "high byte": "X\xe9Note",
		"blank in a known name": "Retry After", "empty": "", "comma": "X,Note", "quoted": `"X-Note"`,
	} {
		answers[name] = withLength(status, field+": a\r\n")
	}
	return answers
}

// TestFieldOfNoNameIsInNoAnswer guards against an answer in whose head the name of a field
// holds a blank or a control byte, and that a client gets as an answer, with that line passed
// on or with a body that is not the target's (MIXED).
func TestFieldOfNoNameIsInNoAnswer(t *testing.T) {
	t.Parallel()
	checkBrokenAnswers(t, answersOfOddNames(), "field name")
}

// answersOfOddFraming are answers of which it is not certain where their bodies end.
func answersOfOddFraming() map[string]string {
	const chunks = "Transfer-Encoding: chunked\r\n"
	length, chunked := fmt.Sprintf("Content-Length: %d\r\n", len(brokenBody)), fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(brokenBody), brokenBody)
	answer := func(version, lines, body string) string {
		return version + " 200 OK\r\n" + brokenFields + lines + "\r\n" + body
	}
	return map[string]string{
		"length and chunks": answer("HTTP/1.1", length+chunks, chunked),
		"chunks and length": answer("HTTP/1.1", chunks+length, chunked),
		"zero and chunks":   answer("HTTP/1.1", "content-length: 0\r\ntransfer-encoding: chunked\r\n", chunked),
		"chunks in 1.0":     answer("HTTP/1.0", chunks, chunked),
		"chunks in 1.2":     answer("HTTP/1.2", chunks, chunked),
		"chunks in 9.9":     answer("HTTP/9.9", chunks, chunked),
		"two lengths":       answer("HTTP/1.1", length+"Content-Length: 1\r\n", brokenBody),
		"no number":         answer("HTTP/1.1", "Content-Length: x\r\n", brokenBody),
		"other encoding":    answer("HTTP/1.1", "Transfer-Encoding: gzip\r\n", brokenBody),
	}
}

// TestAnswerOfUncertainFramingIsNone guards against an answer that a client gets with a body
// that is not the target's, since its head says in two ways, or in none that holds, where the
// body ends (MIXED).
func TestAnswerOfUncertainFramingIsNone(t *testing.T) {
	t.Parallel()
	checkBrokenAnswers(t, answersOfOddFraming(), "malformed response head")
}
