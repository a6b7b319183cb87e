// Package loopback finds free loopback addresses for processes that are played or tested.
package loopback

import (
	"math/rand/v2"
	"net"
	"net/netip"

	"github.com/pkg/errors"
)

const (
	// firstPort and lastPort lie below the ports that the system gives to outgoing connections, which could
	// otherwise take an address between its choice and its use.
	firstPort = 12000
	lastPort  = 30000
)

// ErrNoAddress is returned if no loopback address is free.
var ErrNoAddress = errors.New("no free loopback address")

// Addresses returns a source of free loopback addresses. Each source has a loopback IP number of its own where the
// system routes the whole range, so that deployments played side by side never meet.
func Addresses() func() (netip.AddrPort, error) {
	ip := netip.AddrFrom4([4]byte{127, byte(1 + rand.IntN(254)), byte(rand.IntN(256)), byte(1 + rand.IntN(254))})
	if !free(netip.AddrPortFrom(ip, firstPort)) {
		ip = netip.AddrFrom4([4]byte{127, 0, 0, 1})
	}
	port := uint16(firstPort + rand.IntN((lastPort-firstPort)/2))
	return func() (netip.AddrPort, error) {
		for port < lastPort {
			port++
			if address := netip.AddrPortFrom(ip, port); free(address) {
				return address, nil
			}
		}
		return netip.AddrPort{}, errors.Wrapf(ErrNoAddress, "on %s", ip)
	}
}

func free(address netip.AddrPort) bool {
	l, err := net.Listen("tcp", address.String()) //nolint:noctx // a probe for a free port never blocks
	if err != nil {
		return false
	}
	return l.Close() == nil
}
