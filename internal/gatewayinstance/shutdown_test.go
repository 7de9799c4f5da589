package gatewayinstance_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"heatherrelay/platform/platformtest"
)

const (
	// unreadBytes is the size of a response that does not fit into the buffers of a
	// connection whose client does not read.
	unreadBytes = 7 << 20
	// clientBufferBytes is the size of such a client's receive buffer.
	clientBufferBytes = 4 << 10
	// unreadTime is how long after the start of the shutdown the client begins to
	// read. It lies after the earliest end of the shutdown and before the latest.
	unreadTime = 3500 * time.Millisecond
)

// dialSmallBuffer opens a connection to the first instance with a small receive
// buffer.
func (c *testCluster) dialSmallBuffer() net.Conn {
	c.t.Helper()
	dialer := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		var result error
		if err := raw.Control(func(fd uintptr) {
			result = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, clientBufferBytes)
		}); err != nil {
			return err
		}
		return result
	}}
	conn, err := dialer.Dial("tcp", c.instances[0].settings.Listen.Clients.String())
	if err != nil {
		c.t.Fatal(err)
	}
	c.t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// TestShutdownFinishesResponseOfSlowClient checks that an instance does not end within
// its shutdown grace while a response is still being written to a client that reads
// late: the client would get a closed connection in place of the rest.
func TestShutdownFinishesResponseOfSlowClient(t *testing.T) {
	t.Parallel()
	cluster := newTestCluster(t, 1)
	cluster.plain.Inject(func(p *platformtest.Target) { p.BodyBytes = unreadBytes })
	conn := cluster.dialSmallBuffer()
	const id = "slow-client"
	if _, err := fmt.Fprintf(conn, "POST /read/ HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nKey: %s\r\nDeadline-Ms: 9000\r\nContent-Length: 0\r\n\r\n", platformtest.Host, id, testKey); err != nil {
		t.Fatal(err)
	}
	cluster.waitFor("response at the instance", func() bool { return cluster.logged(id) != "" })
	i := cluster.instances[0]
	i.stop()
	select {
	case err := <-i.done:
		i.done <- err
		t.Error("the instance ended before the client had read its response")
	case <-time.After(unreadTime):
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	if body, err := io.ReadAll(response.Body); err != nil || len(body) != unreadBytes {
		t.Errorf("read %d of %d bytes, error %v; logged: %s", len(body), unreadBytes, err, cluster.logged(id))
	}
}
