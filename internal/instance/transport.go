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
	peerConnectTimeout  = time.Second
	peerPingEvery       = 2 * time.Second
	peerPingTimeout     = 2 * time.Second
	peerStreamsPerConn  = 10_000
	peerReadHeaderLimit = 5 * time.Second
	peerIdleConnTimeout = time.Minute
	// peerCompressMinBytes keeps compression from the events of a stream.
	peerCompressMinBytes = 16 << 10
)

// peerProtocols is HTTP/2, in plain text when there is no TLS.
func peerProtocols() *http.Protocols {
	var protocols http.Protocols
	protocols.SetHTTP2(true)
	protocols.SetUnencryptedHTTP2(true)
	return &protocols
}

// peerTransport returns the client side. Pings find a connection that has gone
// silent, close it, and thereby break the calls on it.
func peerTransport(config *tls.Config) *http.Transport {
	dialer := &connection.Dialer{ConnectTimeout: peerConnectTimeout, AckTimeout: peerPingEvery + peerPingTimeout}
	return &http.Transport{
		Protocols:       peerProtocols(),
		DialContext:     dialer.DialContext,
		TLSClientConfig: config,
		IdleConnTimeout: peerIdleConnTimeout,
		HTTP2: &http.HTTP2Config{
			SendPingTimeout: peerPingEvery,
			PingTimeout:     peerPingTimeout,
		},
	}
}

// servePeers serves the protocol between instances until ctx ends, then waits
// for open streams up to grace.
func servePeers(ctx context.Context, listener net.Listener, handler http.Handler, config *tls.Config, grace time.Duration) error {
	server := &http.Server{
		Handler:           handler,
		TLSConfig:         config,
		Protocols:         peerProtocols(),
		ReadHeaderTimeout: peerReadHeaderLimit,
		HTTP2: &http.HTTP2Config{
			MaxConcurrentStreams: peerStreamsPerConn,
			SendPingTimeout:      peerPingEvery,
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
	waiting, cancel := context.WithTimeout(context.Background(), grace)
	defer cancel()
	if err := server.Shutdown(waiting); err != nil {
		return server.Close()
	}
	return nil
}

// peerURL returns the base address of a peer.
func peerURL(address netip.AddrPort, secure bool) string {
	if secure {
		return "https://" + address.String()
	}
	return "http://" + address.String()
}
