// Package loopback finds addresses for processes and instances that tests run on
// one machine.
package loopback

import (
	"errors"
	"math/rand/v2"
	"net"
	"net/netip"
)

// The ports that are given out: below those that the system gives to outgoing
// connections, which would take one between its choice and its use.
const (
	firstPort = 15_000
	ports     = 17_000
	tries     = 100
)

// FreeAddress returns an address of the loopback interface on which nothing
// listens.
func FreeAddress() (netip.AddrPort, error) {
	for range tries {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(firstPort+rand.IntN(ports)))
		listener, err := net.Listen("tcp", address.String())
		if err != nil {
			continue
		}
		return address, listener.Close()
	}
	return netip.AddrPort{}, errors.New("no free port")
}
