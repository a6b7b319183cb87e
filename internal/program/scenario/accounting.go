package scenario

import (
	"context"
	"encoding/json"
	"net/http"
	"sort"
	"strings"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"github.com/oleandershelf/oleandershelf/internal/edge/platform"
	standin "github.com/oleandershelf/oleandershelf/internal/standin/platform"
	"github.com/oleandershelf/oleandershelf/internal/standin/web"
)

// loadCallers is the number of concurrent callers that raise the load above what one server in each zone can serve.
const loadCallers = 24

// platformState returns what the platform stand-in has received.
func (r *Runner) platformState(ctx context.Context) (standin.State, error) {
	return decode[standin.State](r.platform.send(ctx, http.MethodGet, web.PathState, nil))
}

// waitForScaleUp loads the model pool until more servers have been ordered for a zone.
func (r *Runner) waitForScaleUp(ctx context.Context) error {
	loadCtx, stop := context.WithCancel(ctx)
	var callers conc.WaitGroup
	for range loadCallers {
		callers.Go(func() { r.sendLoad(loadCtx) })
	}
	err := waitUntil(ctx, "order of more model servers", serversTimeout, func(ctx context.Context) (bool, error) {
		state, err := r.platformState(ctx)
		if err != nil {
			return false, err
		}
		r.transcript.Servers = r.serverCounts(state)
		return r.transcript.Servers.Max > r.transcript.Servers.Min, nil
	})
	stop()
	callers.Wait()
	r.logf("model servers ordered for a zone under load: at least %d, at most %d", r.transcript.Servers.Min, r.transcript.Servers.Max)
	return err
}

// sendLoad sends generations one after the other until ctx is done.
func (r *Runner) sendLoad(ctx context.Context) {
	for ctx.Err() == nil {
		// Refusals are expected under overload.
		_, _ = r.entry.send(ctx, http.MethodPost, "/v1/models/"+r.deployment.Model+"/generate",
			[]byte(`{"prompt":"load","maxTokens":200}`), r.authorization(r.deployment.Trainer)...)
	}
}

// serverCounts returns the smallest and largest count of all orders for the model pool.
func (r *Runner) serverCounts(state standin.State) ServerCounts {
	counts := ServerCounts{}
	for _, order := range state.Orders {
		if order.Pool != r.deployment.Model {
			continue
		}
		if counts.Min == 0 || order.Count < counts.Min {
			counts.Min = order.Count
		}
		counts.Max = max(counts.Max, order.Count)
	}
	return counts
}

// waitForUsageReports waits until the platform has received all usage of the caller, and records the total.
func (r *Runner) waitForUsageReports(ctx context.Context) error {
	// One booking and two generations besides the lookups.
	wantRequests := uint64(lookupCount + 1 + 2)
	return waitUntil(ctx, "usage reports", usageTimeout, func(ctx context.Context) (bool, error) {
		state, err := r.platformState(ctx)
		if err != nil {
			return false, err
		}
		sums, err := sumReports(state)
		if err != nil {
			return false, err
		}
		r.transcript.PlatformViolations = append([]string{}, state.Violations...)
		for _, sum := range sums {
			if sum.Organisation != r.deployment.Caller {
				continue
			}
			r.transcript.Usage = []UsageTotal{sum}
			if sum.Requests >= wantRequests {
				r.logf("usage of %s reported: %d requests, %d tokens; %d reports in total",
					sum.Organisation, sum.Requests, sum.Tokens, len(state.Reports))
				return true, nil
			}
		}
		return false, errors.Errorf("reported so far: %+v", sums)
	})
}

// sumReports returns the totals of each organisation over all reports, sorted by name.
func sumReports(state standin.State) ([]UsageTotal, error) {
	byName := map[string]*UsageTotal{}
	for name, raw := range state.Reports {
		var report platform.UsageReport
		if err := json.Unmarshal(raw, &report); err != nil {
			return nil, errors.Wrap(err, name)
		}
		sum, ok := byName[report.Organisation]
		if !ok {
			sum = &UsageTotal{Organisation: report.Organisation}
			byName[report.Organisation] = sum
		}
		sum.Requests += report.Figures.Requests
		sum.Tokens += report.Figures.Tokens
	}
	sums := make([]UsageTotal, 0, len(byName))
	for _, sum := range byName {
		sums = append(sums, *sum)
	}
	sort.Slice(sums, func(i, j int) bool { return sums[i].Organisation < sums[j].Organisation })
	return sums, nil
}

// findLeakedKeys searches everything that the plain services received for organisation keys.
func (r *Runner) findLeakedKeys(ctx context.Context) error {
	r.transcript.LeakedKeys = []string{}
	for _, service := range r.services {
		response, err := service.send(ctx, http.MethodGet, web.PathState, nil)
		if err != nil {
			return err
		}
		for _, organisation := range []string{r.deployment.Caller, r.deployment.Trainer, r.deployment.Withdrawn} {
			if strings.Contains(string(response.Body), r.deployment.Key(organisation)) {
				r.transcript.LeakedKeys = append(r.transcript.LeakedKeys, organisation)
			}
		}
	}
	r.logf("organisation keys received by plain services: %d", len(r.transcript.LeakedKeys))
	return nil
}
