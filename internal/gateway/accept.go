package gateway

import (
	"errors"
	"net"
	"time"

	"go.uber.org/zap"
)

// acceptRetryDelay is the pause after a connection could not be accepted.
const acceptRetryDelay = 50 * time.Millisecond

// retryingListener retries Accept until the listener is closed. The HTTP library
// would end at the first error, for example when the process has too many open files.
type retryingListener struct {
	net.Listener
	log *zap.Logger
}

// Accept returns the next connection. It fails only if the listener is closed.
func (l *retryingListener) Accept() (net.Conn, error) {
	for failures := 0; ; failures++ {
		conn, err := l.Listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil, err
		}
		if err == nil {
			if failures > 0 {
				l.log.Info("accepting connections again", zap.Int("failures", failures))
			}
			return conn, nil
		}
		if failures == 0 {
			l.log.Error("accepting connections failed", zap.Error(err))
		}
		time.Sleep(acceptRetryDelay)
	}
}
