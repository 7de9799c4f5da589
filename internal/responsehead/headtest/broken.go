// Package headtest holds answers for tests of those who read answers.
package headtest

import (
	"fmt"
	"io"
	"net"
	"strings"
	"time"
)

const statusLine = "HTTP/1.1 200 OK"

// Sound returns an answer with a body.
func Sound(body string) string { return answer(statusLine, lengthOf(body), body) }

// Broken returns answers with a body whose heads are none, by what is wrong with them.
func Broken(body string) map[string]string {
	length := lengthOf(body)
	chunked := fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	return map[string]string{
		"status 000":           answer("HTTP/1.1 000 OK", length, body),
		"status 099":           answer("HTTP/1.1 099 OK", length, body),
		"status 600":           answer("HTTP/1.1 600 OK", length, body),
		"status 000 after 100": "HTTP/1.1 100 Continue\r\n\r\n" + answer("HTTP/1.1 000 OK", length, body),
		"version 2.0":          answer("HTTP/2.0 200 OK", length, body),
		"blank in a name":      answer(statusLine, "X Note: a\r\n"+length, body),
		"blank after a name":   answer(statusLine, "X-Note : a\r\n"+length, body),
		"blank before a name":  answer(statusLine, length+" X-Note: a\r\n", body),
		"control byte":         answer(statusLine, "X\x01Note: a\r\n"+length, body),
		"blank in a 103":       "HTTP/1.1 103 Early Hints\r\nX Note: a\r\n\r\n" + Sound(body),
		"length after a blank": answer(statusLine, "Content-Length : 1\r\n", body),
		"length and chunks":    answer(statusLine, length+"Transfer-Encoding: chunked\r\n", chunked),
		"chunks in 1.0":        answer("HTTP/1.0 200 OK", "Transfer-Encoding: chunked\r\n", chunked),
		"no answer":            "broken\r\n\r\n",
	}
}

// Unusual returns answers with a body whose heads are unusual and valid.
func Unusual(body string) map[string]string {
	length := lengthOf(body)
	return map[string]string{
		"no reason":         answer("HTTP/1.1 200", length, body),
		"empty reason":      answer("HTTP/1.1 200 ", length, body),
		"empty value":       answer(statusLine, "X-Empty:\r\n"+length, body),
		"odd name":          answer(statusLine, "X!#$%&'*+-.^_`|~: a\r\n"+length, body),
		"many fields":       answer(statusLine, strings.Repeat("X-Many: a\r\n", 60)+length, body),
		"after 100 and 103": "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + Sound(body),
		"trailer":           answer(statusLine, "Transfer-Encoding: chunked\r\n", fmt.Sprintf("%x\r\n%s\r\n0\r\nX-Note: a\r\n\r\n", len(body), body)),
		"1.0, no length":    answer("HTTP/1.0 200 OK", "", body),
	}
}

func lengthOf(body string) string { return fmt.Sprintf("Content-Length: %d\r\n", len(body)) }

func answer(statusLine, lines, body string) string {
	return statusLine + "\r\nContent-Type: application/json\r\n" + lines + "\r\n" + body
}

// resetPause is how long WriteAndReset waits so that what it wrote arrives before the reset.
const resetPause = 20 * time.Millisecond

// WriteAndReset answers with a part of an answer that has neither a length nor chunks as soon
// as a request arrives, and has the connection reset once it is closed.
func WriteAndReset(conn net.Conn) {
	_, _ = conn.Read(make([]byte, 4<<10))
	_, _ = io.WriteString(conn, statusLine+"\r\n\r\npart")
	time.Sleep(resetPause)
	_ = conn.(*net.TCPConn).SetLinger(0)
}
