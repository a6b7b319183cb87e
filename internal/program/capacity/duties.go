package capacity

import (
	"context"
	"fmt"
	"time"

	"github.com/oleandershelf/oleandershelf/internal/edge/duty"
	"github.com/oleandershelf/oleandershelf/internal/edge/platform"
	standin "github.com/oleandershelf/oleandershelf/internal/standin/platform"
)

const contendersPerDuty = 3

// dutyExperiment measures the cost of leases: each duty has three contenders, one of which holds it.
type dutyExperiment struct{}

// Description implements Experiment.
func (dutyExperiment) Description() Description {
	return Description{
		Name: "duties", SizeUnit: "duty",
		Notes: "Leases with three contenders each, over HTTP against the stand-in; holders, other contenders and stand-in together.",
	}
}

// Sizes implements Experiment.
func (dutyExperiment) Sizes() []int { return []int{1, 8, 24, 48} }

// Measure implements Experiment.
func (dutyExperiment) Measure(ctx context.Context, count int) ([]Metric, error) {
	ctx, cancel := context.WithCancel(ctx)
	traffic := &trafficCounter{}
	l, err := traffic.listen(ctx)
	if err != nil {
		cancel()
		return nil, err
	}
	server, err := newPlatform(ctx, l, nil)
	if err != nil {
		cancel()
		return nil, err
	}
	memoryBefore := memoryInUse()
	var keepers []*duty.Keeper
	defer func() {
		cancel()
		for _, keeper := range keepers {
			keeper.Wait()
		}
	}()
	for host := range contendersPerDuty {
		client := platform.NewClient("http://" + l.Addr().String())
		for i := range count {
			keepers = append(keepers, duty.NewKeeper(ctx, client, fmt.Sprintf("measured/%d", i),
				duty.Holder{HostID: fmt.Sprintf("host-%d", host), Incarnation: uint64(host + 1)}))
		}
	}
	if err := pause(ctx, settleTime); err != nil {
		return nil, err
	}
	memory := memoryInUse() - memoryBefore
	calls := server.Calls()
	observed, err := observe(ctx, traffic, 2*observationTime)
	rate := func(kind standin.CallKind) Metric {
		return Metric{Name: "calls " + string(kind), Unit: unitCalls, Value: float64(server.Calls()[kind]-calls[kind]) / observed.seconds}
	}
	return []Metric{
		observed.processorMetric(),
		observed.bytesMetric(),
		{Name: nameMemory, Unit: unitBytes, Value: memory},
		rate(standin.KindPut),
		rate(standin.KindGet),
		rate(standin.KindWatch),
		{Name: "held duties", Unit: "duties", Value: float64(countHeld(keepers))},
	}, err
}

func countHeld(keepers []*duty.Keeper) int {
	held := 0
	for _, keeper := range keepers {
		if _, ok := keeper.Held(time.Now()); ok {
			held++
		}
	}
	return held
}
