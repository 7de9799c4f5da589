package connection_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"heatherrelay/internal/connection"
)

// TestBodyInSmallChunks guards against work without a bound for a body whose chunks are
// mostly framing, and against refusing bodies in chunks of a few bytes.
func TestBodyInSmallChunks(t *testing.T) {
	for _, c := range []struct {
		chunk, bytes int
		whole        bool
	}{{1, 8 << 10, true}, {2, 100 << 10, true}, {16, 500 << 10, true}, {1, 100 << 10, false}} {
		t.Run(fmt.Sprint(c.bytes, " bytes in chunks of ", c.chunk), func(t *testing.T) {
			chunk := fmt.Sprintf("%x\r\n%s\r\n", c.chunk, strings.Repeat("x", c.chunk))
			body := strings.Repeat(chunk, c.bytes/c.chunk) + "0\r\n\r\n"
			server := &rawServer{Answer: func(conn net.Conn, _ int64) bool {
				_, err := io.WriteString(conn, okHead+"Transfer-Encoding: chunked\r\n\r\n"+body)
				return err == nil
			}}
			client := &connection.HTTPClient{}
			response, err := client.Do(t.Context(), connection.Request{Method: http.MethodGet, URI: server.start(t), Timeout: 10 * time.Second})
			if c.whole != (err == nil) || c.whole && len(response.Body) != c.bytes {
				t.Errorf("%d bytes, %v", len(response.Body), err)
			}
			if err != nil && !connection.ErrResponseTooLarge.Has(err) {
				t.Errorf("error %v", err)
			}
		})
	}
}
