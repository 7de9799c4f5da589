package loopback_test

import (
	"net/netip"
	"testing"

	"heatherrelay/internal/loopback"
)

// TestFreeAddressesDiffer guards against two instances of a test that get the same
// address, because the first does not listen there yet when the second looks for one:
// one of them then cannot listen.
func TestFreeAddressesDiffer(t *testing.T) {
	const addresses = 800
	seen := map[netip.AddrPort]bool{}
	for range addresses {
		address, err := loopback.FreeAddress()
		if err != nil {
			t.Fatal(err)
		}
		if seen[address] {
			t.Errorf("%s was returned twice", address)
		}
		seen[address] = true
	}
}
