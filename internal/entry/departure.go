package entry

import (
	"context"
	"net"
	"time"

	"github.com/gofiber/fiber/v3"

	"heatherrelay/internal/connection"
)

// departurePoll is the time between looks at whether a waiting caller is there.
const departurePoll = time.Second

// callerOf returns the caller's TCP connection; nil if there is none to look at.
func callerOf(c fiber.Ctx) *net.TCPConn {
	if l, ok := tcpBelow(c.RequestCtx().Conn()).(*lingerConn); ok {
		return l.TCPConn
	}
	return nil
}

// whilePresent returns a context that ends with the cause errCallerGone when the
// caller closes its connection. A caller that closes its sending side alone
// counts as gone.
func whilePresent(ctx context.Context, conn *net.TCPConn) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	if conn == nil {
		return ctx, func() { cancel(nil) }
	}
	var look func()
	var timer *time.Timer
	look = func() {
		if ctx.Err() != nil {
			return
		}
		if departed(conn) {
			cancel(errCallerGone)
			return
		}
		timer.Reset(departurePoll)
	}
	timer = time.AfterFunc(time.Hour, look)
	timer.Reset(departurePoll)
	return ctx, func() {
		cancel(nil)
		timer.Stop()
	}
}

// departed reports whether the other end closed the connection, without reading
// from it.
func departed(conn *net.TCPConn) bool { return connection.Peek(conn) == connection.Closed }
