package membership

import (
	"context"
	"net/netip"

	"github.com/pkg/errors"

	"github.com/oleandershelf/oleandershelf/internal/edge/peer"
	"github.com/oleandershelf/oleandershelf/internal/edge/platform"
)

// MethodHosts requests the list that a host holds.
const MethodHosts peer.Method = "membership.hosts"

// ErrNoList is returned if none of the configured peers holds a list.
var ErrNoList = errors.New("no configured peer holds a host list")

// HostsRequest requests the host list.
type HostsRequest struct{}

// HostsAnswer is the host list as last read from the platform.
type HostsAnswer struct {
	Hosts []platform.Host `msgpack:"h"`
}

// NewPeerSource returns a host list that asks the peers at the configured addresses one after the other, for use
// with WithFallback.
func NewPeerSource(client *peer.Client, addresses []netip.AddrPort) platform.HostList {
	return peerSource{client: client, addresses: addresses}
}

type peerSource struct {
	client    *peer.Client
	addresses []netip.AddrPort
}

// Hosts implements platform.HostList.
func (s peerSource) Hosts(ctx context.Context) ([]platform.Host, error) {
	failure := ErrNoList
	for _, address := range s.addresses {
		answer, err := peer.Call[HostsRequest, HostsAnswer](ctx, s.client, address, MethodHosts, HostsRequest{})
		if err == nil && len(answer.Hosts) > 0 {
			return answer.Hosts, nil
		}
		if err != nil {
			failure = errors.Wrapf(ErrNoList, "%s: %v", address, err)
		}
	}
	return nil, failure
}
