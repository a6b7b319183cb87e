package process

import (
	"context"
	"encoding/json"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"github.com/oleandershelf/oleandershelf/internal/edge/gossip"
	product "github.com/oleandershelf/oleandershelf/internal/edge/platform"
)

// register writes this entry's address into the store and meets those that are there.
func (g *Gateway) register(ctx context.Context, self gossip.Member) {
	for ctx.Err() == nil {
		err := g.tryRegister(ctx, self)
		if err == nil {
			return
		}
		g.log.Warn().Err(err).Msg("entry not registered yet")
		select {
		case <-ctx.Done():
		case <-time.After(registerPause):
		}
	}
}

func (g *Gateway) tryRegister(ctx context.Context, self gossip.Member) error {
	objects, _, err := g.store.List(ctx, kindMembers)
	if err != nil {
		return err
	}
	registered := product.Version(0)
	for _, object := range objects {
		var address netip.AddrPort
		if err := json.Unmarshal(object.Value, &address); err != nil {
			g.log.Warn().Err(err).Str("entry", object.Name).Msg("registered address ignored")
			continue
		}
		if object.Name == self.HostID {
			registered = object.Version
			if address == self.Address {
				continue
			}
		}
		g.gossip.Meet(address)
	}
	value, err := json.Marshal(self.Address)
	if err != nil {
		return errors.Wrap(err, "address")
	}
	if registered == 0 {
		_, err = g.store.Create(ctx, kindMembers, self.HostID, value)
	} else {
		_, err = g.store.Update(ctx, kindMembers, self.HostID, value, registered)
	}
	return err
}
