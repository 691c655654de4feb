package soak

import (
	"net/netip"
	"testing"
)

func TestConcurrentSoaksHaveAddressesOfTheirOwn(t *testing.T) {
	seen := map[netip.Addr]bool{}
	for range soakRanges {
		f := &fleet{firstNetwork: nextFirstNetwork()}
		for network := range networkCount {
			addr, err := netip.ParseAddr(f.ip(network, 0))
			if err != nil || !addr.IsLoopback() || seen[addr] {
				t.Errorf("address %s: not a loopback address, or taken twice (%v)", f.ip(network, 0), err)
			}
			seen[addr] = true
		}
	}
}
