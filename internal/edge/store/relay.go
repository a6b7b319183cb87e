package store

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/oleandershelf/oleandershelf/internal/edge/gossip"
	"github.com/oleandershelf/oleandershelf/internal/edge/peer"
	product "github.com/oleandershelf/oleandershelf/internal/edge/platform"
	"github.com/oleandershelf/oleandershelf/platform"
)

// MethodCall has another entry send a call to the store.
const MethodCall peer.Method = "store.call"

// maxRelayAttempts is through how many other entries a call is tried at most. Those that reached the store recently come first, so that one
// is enough unless they were cut off a moment ago.
const maxRelayAttempts = 3

// relayResponse is the answer to MethodCall.
type relayResponse struct {
	Reply platform.Reply `msgpack:"r"`
	// Unavailable means that the call had no effect, OutcomeUnknown that it may have had one.
	Unavailable    bool `msgpack:"u"`
	OutcomeUnknown bool `msgpack:"s"`
}

// Members is the list of the other entries.
type Members interface {
	// Alive returns the other entries that are alive. The caller must not change the slice.
	Alive(now time.Time) []gossip.Member
}

// Relay sends calls to the store through other entries.
type Relay struct {
	client       *peer.Client
	members      Members
	reachesStore func(now time.Time, host string) bool
	log          zerolog.Logger
}

// NewRelay returns a relay through the live entries of members; reachesStore reports whether the entry on a host reached
// the store recently.
func NewRelay(client *peer.Client, members Members, reachesStore func(now time.Time, host string) bool, log zerolog.Logger) *Relay {
	return &Relay{client: client, members: members, reachesStore: reachesStore, log: log}
}

// candidates returns the entries to send a call through, at most maxRelayAttempts: first those that reached the store recently, then the
// others, both in random order.
//
// With the same order on every host, a store that rejects the first few entries would be unreachable for every other
// entry that it rejects, although it serves most entries.
func (r *Relay) candidates(now time.Time) []gossip.Member {
	members := slices.DeleteFunc(slices.Clone(r.members.Alive(now)), func(m gossip.Member) bool { return m.Leaving })
	rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	slices.SortStableFunc(members, func(a, b gossip.Member) int {
		return cmp.Compare(r.rank(now, a), r.rank(now, b))
	})
	return members[:min(maxRelayAttempts, len(members))]
}

// rank returns 0 for an entry that reached the store recently, else 1.
func (r *Relay) rank(now time.Time, member gossip.Member) int {
	if r.reachesStore(now, member.HostID) {
		return 0
	}
	return 1
}

// Serve lets other entries call the store through this one. It refuses their calls while this host's own direct calls fail.
func Serve(registry *peer.Registry, store *Store) {
	peer.Handle(registry, MethodCall, func(ctx context.Context, call platform.Call) (relayResponse, error) {
		if store.DirectUnavailable(time.Now()) {
			return relayResponse{Unavailable: true}, nil
		}
		return newRelayResponse(store.CallDirect(ctx, call)), nil
	})
}

// newRelayResponse returns the response to another entry for the outcome of its call.
func newRelayResponse(reply platform.Reply, err error) relayResponse {
	if err == nil {
		return relayResponse{Reply: reply}
	}
	unavailable := errors.Is(err, product.ErrUnavailable)
	return relayResponse{Unavailable: unavailable, OutcomeUnknown: !unavailable}
}

// Send sends the call through one candidate after another until one returns an answer. It stops at a write that may have
// taken effect.
func (r *Relay) Send(ctx context.Context, call platform.Call) (platform.Reply, error) {
	candidates := r.candidates(time.Now())
	for _, member := range candidates {
		started := time.Now()
		reply, err := r.callThrough(ctx, member, call)
		r.log.Debug().Str("method", call.Method).Str("target", call.Target).Str("entry", member.HostID).Int("status", reply.Status).Err(err).
			Dur("took", time.Since(started)).Msg("store called through another entry")
		if err == nil || errors.Is(err, product.ErrOutcomeUnknown) && call.Writes() {
			return reply, err
		}
	}
	return platform.Reply{}, errors.Wrapf(product.ErrUnavailable, "%s %s: not through %d other entries either",
		call.Method, call.Target, len(candidates))
}

// callThrough sends the call through one entry.
func (r *Relay) callThrough(ctx context.Context, member gossip.Member, call platform.Call) (platform.Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	answer, err := peer.Call[platform.Call, relayResponse](ctx, r.client, member.Address, MethodCall, call)
	switch {
	case errors.Is(err, peer.ErrUnsent):
		return platform.Reply{}, errors.Wrapf(product.ErrUnavailable, "entry %s: %v", member.HostID, err)
	case err != nil:
		return platform.Reply{}, errors.Wrapf(product.ErrOutcomeUnknown, "entry %s: %v", member.HostID, err)
	case answer.Unavailable:
		return platform.Reply{}, errors.Wrapf(product.ErrUnavailable, "entry %s is turned away too", member.HostID)
	case answer.OutcomeUnknown:
		return platform.Reply{}, errors.Wrapf(product.ErrOutcomeUnknown, "through entry %s", member.HostID)
	default:
		return answer.Reply, nil
	}
}
