package store

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/oleandershelf/oleandershelf/internal/edge/gossip"
	"github.com/oleandershelf/oleandershelf/internal/edge/peer"
	product "github.com/oleandershelf/oleandershelf/internal/edge/platform"
	"github.com/oleandershelf/oleandershelf/platform"
)

// MethodCall asks another entry to carry a call to the store.
const MethodCall peer.Method = "store.call"

// relayTries is how many other entries are asked. Those that reached the store lately come first, so that one is enough unless they
// were cut off a moment ago.
const relayTries = 3

// relayed is the answer to MethodCall.
type relayed struct {
	Reply platform.Reply `msgpack:"r"`
	// Unavailable says that the call had no effect, Unsettled that its effect is open.
	Unavailable bool `msgpack:"u"`
	Unsettled   bool `msgpack:"s"`
}

// Members are the other entries.
type Members interface {
	Alive(now time.Time) []gossip.Member
}

// Relay carries calls through other entries.
type Relay struct {
	client  *peer.Client
	members Members
	reaches func(now time.Time, host string) bool
}

// NewRelay returns a relay over the living entries of members; reaches says which of them reached the store lately.
func NewRelay(client *peer.Client, members Members, reaches func(now time.Time, host string) bool) *Relay {
	return &Relay{client: client, members: members, reaches: reaches}
}

// candidates returns the entries to ask, those that reached the store lately first, the others by chance.
//
// Guard: in one order for all, a store that turns the first few entries away is out of reach for every other one that it turns away,
// although most entries are served.
func (r *Relay) candidates(now time.Time) []gossip.Member {
	members := slices.DeleteFunc(r.members.Alive(now), func(m gossip.Member) bool { return m.Leaving })
	rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	slices.SortStableFunc(members, func(a, b gossip.Member) int {
		return cmp.Compare(r.order(now, a), r.order(now, b))
	})
	return members[:min(relayTries, len(members))]
}

func (r *Relay) order(now time.Time, member gossip.Member) int {
	if r.reaches(now, member.HostID) {
		return 0
	}
	return 1
}

// Serve lets other entries call the store through this one.
func Serve(registry *peer.Registry, store *Store) {
	peer.Handle(registry, MethodCall, func(ctx context.Context, call platform.Call) (relayed, error) {
		if store.Away(time.Now()) {
			return relayed{Unavailable: true}, nil
		}
		return outcome(store.Direct(ctx, call)), nil
	})
}

// outcome tells another entry what became of its call.
func outcome(reply platform.Reply, err error) relayed {
	if err == nil {
		return relayed{Reply: reply}
	}
	unavailable := errors.Is(err, product.ErrUnavailable)
	return relayed{Unavailable: unavailable, Unsettled: !unavailable}
}

// Carry has the call carried by one living entry after another, until one has an answer or the effect is open.
func (r *Relay) Carry(ctx context.Context, call platform.Call) (platform.Reply, error) {
	candidates := r.candidates(time.Now())
	for _, member := range candidates {
		reply, err := r.through(ctx, member, call)
		if err == nil || errors.Is(err, product.ErrUnsettled) && call.Writes() {
			return reply, err
		}
	}
	return platform.Reply{}, errors.Wrapf(product.ErrUnavailable, "%s %s: not through %d other entries either", call.Method, call.Target, len(candidates))
}

func (r *Relay) through(ctx context.Context, member gossip.Member, call platform.Call) (platform.Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout+call.Wait)
	defer cancel()
	answer, err := peer.Call[platform.Call, relayed](ctx, r.client, member.Address, MethodCall, call)
	switch {
	case errors.Is(err, peer.ErrUnsent):
		return platform.Reply{}, errors.Wrapf(product.ErrUnavailable, "entry %s: %v", member.HostID, err)
	case err != nil:
		return platform.Reply{}, errors.Wrapf(product.ErrUnsettled, "entry %s: %v", member.HostID, err)
	case answer.Unavailable:
		return platform.Reply{}, errors.Wrapf(product.ErrUnavailable, "entry %s is turned away too", member.HostID)
	case answer.Unsettled:
		return platform.Reply{}, errors.Wrapf(product.ErrUnsettled, "through entry %s", member.HostID)
	default:
		return answer.Reply, nil
	}
}
