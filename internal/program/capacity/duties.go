package capacity

import (
	"context"
	"fmt"
	"time"

	"github.com/oleandershelf/oleandershelf/internal/edge/duty"
	"github.com/oleandershelf/oleandershelf/internal/edge/platform"
	standin "github.com/oleandershelf/oleandershelf/internal/standin/platform"
)

const contendersOfDuty = 3

// duties is the cost of leases: each duty has three contenders, one of which holds it.
type duties struct{}

// About implements Slope.
func (duties) About() About {
	return About{
		Name: "duties", Axis: "duty",
		Notes: "Leases with three contenders each over HTTP against the stand-in; holder, observers and stand-in together.",
	}
}

// Sizes implements Slope.
func (duties) Sizes() []int { return []int{1, 8, 24, 48} }

// Measure implements Slope.
func (duties) Measure(ctx context.Context, count int) ([]Figure, error) {
	ctx, cancel := context.WithCancel(ctx)
	w := &wire{}
	l, err := w.listen(ctx)
	if err != nil {
		cancel()
		return nil, err
	}
	server, err := newPlatform(ctx, l, nil)
	if err != nil {
		cancel()
		return nil, err
	}
	before := usedMemory()
	var keepers []*duty.Keeper
	defer func() {
		cancel()
		for _, keeper := range keepers {
			keeper.Wait()
		}
	}()
	for host := range contendersOfDuty {
		client := platform.NewClient("http://" + l.Addr().String())
		for i := range count {
			keepers = append(keepers, duty.NewKeeper(ctx, client, fmt.Sprintf("measured/%d", i),
				duty.Holder{HostID: fmt.Sprintf("host-%d", host), Incarnation: uint64(host + 1)}))
		}
	}
	if err := pause(ctx, settle); err != nil {
		return nil, err
	}
	memory := usedMemory() - before
	calls := server.Calls()
	seen, err := observe(ctx, w, 2*window)
	rate := func(kind standin.CallKind) Figure {
		return Figure{Name: "calls " + string(kind), Unit: unitCalls, Value: float64(server.Calls()[kind]-calls[kind]) / seen.seconds}
	}
	return []Figure{
		seen.processorFigure(),
		seen.bytesFigure(),
		{Name: nameMemory, Unit: unitBytes, Value: memory},
		rate(standin.KindPut),
		rate(standin.KindGet),
		rate(standin.KindWatch),
		{Name: "held duties", Unit: "duties", Value: float64(heldOf(keepers))},
	}, err
}

func heldOf(keepers []*duty.Keeper) int {
	held := 0
	for _, keeper := range keepers {
		if _, ok := keeper.Held(time.Now()); ok {
			held++
		}
	}
	return held
}
