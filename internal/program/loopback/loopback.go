// Package loopback finds free loopback addresses for processes of demos and tests.
package loopback

import (
	"math/rand/v2"
	"net"
	"net/netip"

	"github.com/pkg/errors"
)

const (
	// firstPort and lastPort lie below the port range that the operating system uses for outgoing connections. Otherwise
	// such a connection could take a chosen address before the caller listens on it.
	firstPort = 12000
	lastPort  = 30000
)

// ErrNoAddress is returned if no loopback address is free.
var ErrNoAddress = errors.New("no free loopback address")

// NewAllocator returns a function that returns another free loopback address at each call, or ErrNoAddress. Where the operating
// system routes all of 127.0.0.0/8, each function uses a random IP address from it, so that deployments that run at the
// same time are unlikely to collide; elsewhere it uses 127.0.0.1.
func NewAllocator() func() (netip.AddrPort, error) {
	ip := netip.AddrFrom4([4]byte{127, byte(1 + rand.IntN(254)), byte(rand.IntN(256)), byte(1 + rand.IntN(254))})
	if !isFree(netip.AddrPortFrom(ip, firstPort)) {
		ip = netip.AddrFrom4([4]byte{127, 0, 0, 1})
	}
	port := uint16(firstPort + rand.IntN((lastPort-firstPort)/2))
	return func() (netip.AddrPort, error) {
		for port < lastPort {
			port++
			if address := netip.AddrPortFrom(ip, port); isFree(address) {
				return address, nil
			}
		}
		return netip.AddrPort{}, errors.Wrapf(ErrNoAddress, "on %s", ip)
	}
}

// isFree reports whether the address can be listened on.
func isFree(address netip.AddrPort) bool {
	listener, err := net.Listen("tcp", address.String()) //nolint:noctx // a probe for a free port never blocks
	if err != nil {
		return false
	}
	return listener.Close() == nil
}
