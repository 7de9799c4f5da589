// Package loopback finds free loopback addresses for processes and instances that
// tests run on one machine.
package loopback

import (
	"errors"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
)

// FreeAddress chooses from portCount ports starting at firstPort. They lie below the
// ephemeral ports of the system, since an outgoing connection could take one of those
// between its choice and its use.
const (
	firstPort   = 15_000
	portCount   = 17_000
	maxAttempts = 100
)

// reserved holds the UDP sockets that reserve the ports of the returned addresses until
// the process ends.
var reserved struct {
	mu      sync.Mutex
	sockets []net.PacketConn
}

// FreeAddress returns a random address of the loopback interface on which nothing
// listens at the time. No other call returns it, in this process or in another one,
// until this process ends. It fails if no port is free in maxAttempts attempts.
func FreeAddress() (netip.AddrPort, error) {
	for range maxAttempts {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(firstPort+rand.IntN(portCount)))
		if reserve(address) {
			return address, nil
		}
	}
	return netip.AddrPort{}, errors.New("no free port")
}

// reserve reserves an address, and reports whether it was free.
func reserve(address netip.AddrPort) bool {
	socket, err := net.ListenPacket("udp", address.String())
	if err != nil {
		return false
	}
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		// A socket that stays open only keeps the port reserved.
		_ = socket.Close()
		return false
	}
	reserved.mu.Lock()
	defer reserved.mu.Unlock()
	reserved.sockets = append(reserved.sockets, socket)
	return listener.Close() == nil
}
