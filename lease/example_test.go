package lease_test

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"github.com/oleandershelf/oleandershelf/internal/standin/platform"
	"github.com/oleandershelf/oleandershelf/lease"
)

// Two processes contend for the duty of sending invoices. The first holds it and sends an invoice with its fence's number. When it
// releases the duty, the second takes over at once, with a higher number.
func Example() {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	store := platform.NewMemory()
	first := lease.NewKeeper(ctx, store, "invoices", holder("billing-1", 1))
	sent := send(ctx, first)
	second := lease.NewKeeper(ctx, store, "invoices", holder("billing-2", 2))
	_, both := second.Held(time.Now())
	fmt.Println("second holds together with the first:", both)
	if err := first.Release(ctx); err != nil {
		fmt.Println(err)
	}
	next := send(ctx, second)
	_, still := first.Held(time.Now())
	fmt.Println("first holds after its release:", still)
	fmt.Println("the number has grown:", next > sent)
	// Output:
	// second holds together with the first: false
	// first holds after its release: false
	// the number has grown: true
}

// send waits until the keeper holds the duty and returns the number to send with an invoice. A real write must also end by the
// fence's deadline.
func send(ctx context.Context, keeper *lease.Keeper) lease.Version {
	for {
		changed := keeper.Changed()
		if fence, held := keeper.Held(time.Now()); held {
			return fence.Number
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return 0
		}
	}
}

func holder(hostID string, incarnation uint64) lease.Holder {
	return lease.Holder{HostID: hostID, Address: netip.MustParseAddrPort("127.0.0.1:8081"), Incarnation: incarnation}
}
