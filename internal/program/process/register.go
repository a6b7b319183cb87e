package process

import (
	"context"
	"encoding/json"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"github.com/oleandershelf/oleandershelf/internal/core/roster"
	"github.com/oleandershelf/oleandershelf/internal/edge/gossip"
	product "github.com/oleandershelf/oleandershelf/internal/edge/platform"
	"github.com/oleandershelf/oleandershelf/internal/edge/ticker"
	"github.com/oleandershelf/oleandershelf/platform"
)

// registrationCheckInterval is the pause between checks whether a registration is due.
const registrationCheckInterval = 200 * time.Millisecond

// registration writes this entry's address to the store and passes the addresses of other entries to the gossip.
type registration struct {
	gateway  *Gateway
	self     gossip.Member
	schedule roster.JoinSchedule
	written  bool
}

// register runs the registration until ctx ends.
func (g *Gateway) register(ctx context.Context, self gossip.Member) {
	r := &registration{gateway: g, self: self}
	started := time.Now()
	for ticker.Sleep(ctx, registrationCheckInterval) {
		now := time.Now()
		others := g.gossip.Alive(now)
		if !roster.Settled(now.Sub(started), others) || !r.schedule.Due(now, self.HostID, others) {
			continue
		}
		if err := r.exchangeAddresses(ctx); err != nil {
			g.log.Warn().Err(err).Msg("cannot register the entry, retrying")
			ticker.Sleep(ctx, registrationRetryDelay)
			continue
		}
		r.schedule.Done(now)
	}
}

// exchangeAddresses writes the address before it reads the others, so that at least one of two entries that start together
// finds the other.
func (r *registration) exchangeAddresses(ctx context.Context) error {
	if err := r.writeAddress(ctx); err != nil {
		return err
	}
	return r.readAddresses(ctx)
}

// writeAddress creates or updates the address of this entry in the store, once.
func (r *registration) writeAddress(ctx context.Context) error {
	if r.written {
		return nil
	}
	value, err := json.Marshal(r.self.Address)
	if err != nil {
		return errors.Wrap(err, "address")
	}
	_, err = r.gateway.store.Create(ctx, kindMembers, r.self.HostID, value)
	if errors.Is(err, product.ErrConflict) {
		err = r.updateAddress(ctx, value, err)
	}
	r.written = err == nil
	return err
}

// updateAddress replaces the address that an earlier process on this host registered, if it differs.
func (r *registration) updateAddress(ctx context.Context, value json.RawMessage, conflict error) error {
	var details *platform.ConflictError
	if !errors.As(conflict, &details) {
		return conflict
	}
	var address netip.AddrPort
	if err := json.Unmarshal(details.Object.Value, &address); err == nil && address == r.self.Address {
		return nil
	}
	_, err := r.gateway.store.Update(ctx, kindMembers, r.self.HostID, value, details.Object.Version)
	return err
}

// readAddresses passes the addresses in the store to the gossip.
func (r *registration) readAddresses(ctx context.Context) error {
	objects, _, err := r.gateway.store.List(ctx, kindMembers)
	if err != nil {
		return err
	}
	for _, object := range objects {
		var address netip.AddrPort
		if err := json.Unmarshal(object.Value, &address); err != nil {
			r.gateway.log.Warn().Err(err).Str("entry", object.Name).Msg("ignoring an invalid registered address")
			continue
		}
		r.gateway.gossip.Meet(address)
	}
	return nil
}
