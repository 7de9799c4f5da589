// Package loopback finds free loopback addresses for processes and instances that
// tests run on one machine.
package loopback

import (
	"errors"
	"math/rand/v2"
	"net"
	"net/netip"
)

// FreeAddress chooses from portCount ports starting at firstPort. They lie below the
// ephemeral ports of the system, since an outgoing connection could take one of those
// between its choice and its use.
const (
	firstPort   = 15_000
	portCount   = 17_000
	maxAttempts = 100
)

// FreeAddress returns a random address of the loopback interface on which nothing
// listens at the time. It fails if no port is free in maxAttempts attempts.
func FreeAddress() (netip.AddrPort, error) {
	for range maxAttempts {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(firstPort+rand.IntN(portCount)))
		listener, err := net.Listen("tcp", address.String())
		if err != nil {
			continue
		}
		return address, listener.Close()
	}
	return netip.AddrPort{}, errors.New("no free port")
}
