package callerapi

import (
	"context"
	"net"
	"time"

	"github.com/gofiber/fiber/v3"

	"heatherrelay/internal/connection"
)

// disconnectPollInterval is the time between two checks whether a waiting caller
// is still connected.
const disconnectPollInterval = time.Second

// callerConn returns the caller's TCP connection, or nil if the connection is not
// TCP.
func callerConn(c fiber.Ctx) *net.TCPConn {
	if delayed, ok := withoutTLS(c.RequestCtx().Conn()).(*delayedCloseConn); ok {
		return delayed.TCPConn
	}
	return nil
}

// cancelOnDisconnect returns a context that is canceled with the cause
// errCallerGone when the caller closes its connection. A caller that closes only
// its sending side counts as disconnected. If conn is nil, the connection is not
// watched. The returned function stops the watch and must be called.
func cancelOnDisconnect(ctx context.Context, conn *net.TCPConn) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	if conn == nil {
		return ctx, func() { cancel(nil) }
	}
	var poll func()
	var timer *time.Timer
	poll = func() {
		if ctx.Err() != nil {
			return
		}
		if isClosed(conn) {
			cancel(errCallerGone)
			return
		}
		timer.Reset(disconnectPollInterval)
	}
	// poll uses timer, so it must not run before timer is assigned.
	timer = time.AfterFunc(time.Hour, poll)
	timer.Reset(disconnectPollInterval)
	return ctx, func() {
		cancel(nil)
		timer.Stop()
	}
}

// isClosed reports whether the caller closed the connection. It consumes no bytes
// from it.
func isClosed(conn *net.TCPConn) bool { return connection.Peek(conn) == connection.Closed }
