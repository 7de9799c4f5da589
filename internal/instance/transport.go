package instance

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"net/netip"
	"time"

	"heatherrelay/internal/connection"
)

const (
	peerConnectTimeout    = time.Second
	peerPingInterval      = 2 * time.Second
	peerPingTimeout       = 2 * time.Second
	peerStreamsPerConn    = 10_000
	peerReadHeaderTimeout = 5 * time.Second
	peerIdleConnTimeout   = time.Minute
	// peerCompressMinBytes is the smallest message that is compressed. It is larger
	// than the events of a stream, which are thus sent uncompressed.
	peerCompressMinBytes = 16 << 10
)

// peerProtocols returns HTTP/2, over TLS or in plain text.
func peerProtocols() *http.Protocols {
	var protocols http.Protocols
	protocols.SetHTTP2(true)
	protocols.SetUnencryptedHTTP2(true)
	return &protocols
}

// peerTransport returns the HTTP transport for calls to peers. Pings detect an
// unresponsive connection and close it, which fails the calls on it.
func peerTransport(config *tls.Config) *http.Transport {
	dialer := &connection.Dialer{ConnectTimeout: peerConnectTimeout, AckTimeout: peerPingInterval + peerPingTimeout}
	return &http.Transport{
		Protocols:       peerProtocols(),
		DialContext:     dialer.DialContext,
		TLSClientConfig: config,
		IdleConnTimeout: peerIdleConnTimeout,
		HTTP2: &http.HTTP2Config{
			SendPingTimeout: peerPingInterval,
			PingTimeout:     peerPingTimeout,
		},
	}
}

// servePeers serves the protocol between instances until ctx ends, then waits up
// to grace for open streams to finish before it closes their connections.
func servePeers(ctx context.Context, listener net.Listener, handler http.Handler, config *tls.Config, grace time.Duration) error {
	server := &http.Server{
		Handler:           handler,
		TLSConfig:         config,
		Protocols:         peerProtocols(),
		ReadHeaderTimeout: peerReadHeaderTimeout,
		HTTP2: &http.HTTP2Config{
			MaxConcurrentStreams: peerStreamsPerConn,
			SendPingTimeout:      peerPingInterval,
			PingTimeout:          peerPingTimeout,
		},
	}
	served := make(chan error, 1)
	go func() {
		if config != nil {
			served <- server.ServeTLS(listener, "", "")
			return
		}
		served <- server.Serve(listener)
	}()
	select {
	case err := <-served:
		return err
	case <-ctx.Done():
	}
	shutdownCtx, cancel := context.WithTimeout(context.Background(), grace)
	defer cancel()
	if err := server.Shutdown(shutdownCtx); err != nil {
		return server.Close()
	}
	return nil
}

// peerURL returns the base URL of a peer.
func peerURL(address netip.AddrPort, secure bool) string {
	if secure {
		return "https://" + address.String()
	}
	return "http://" + address.String()
}
