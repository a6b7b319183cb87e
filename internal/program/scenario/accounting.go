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

// loadCallers send generations at once, to raise the load above what one server of each zone takes.
const loadCallers = 24

func (p *Player) platformState(ctx context.Context) (standin.State, error) {
	return decode[standin.State](p.platform.do(ctx, http.MethodGet, web.PathState, nil))
}

// orderServers loads the model pool until more servers were ordered.
func (p *Player) orderServers(ctx context.Context) error {
	loadCtx, stop := context.WithCancel(ctx)
	var callers conc.WaitGroup
	for range loadCallers {
		callers.Go(func() { p.load(loadCtx) })
	}
	err := until(ctx, "more servers ordered", serversLimit, func(ctx context.Context) (bool, error) {
		state, err := p.platformState(ctx)
		if err != nil {
			return false, err
		}
		p.seen.Servers = p.serversSeen(state)
		return p.seen.Servers.Most > p.seen.Servers.Least, nil
	})
	stop()
	callers.Wait()
	p.tell("under load, model servers of a zone were ordered from %d to %d", p.seen.Servers.Least, p.seen.Servers.Most)
	return err
}

func (p *Player) load(ctx context.Context) {
	for ctx.Err() == nil {
		// Refusals are part of being loaded.
		_, _ = p.entry.do(ctx, http.MethodPost, "/v1/models/"+p.deployment.Model+"/generate",
			[]byte(`{"prompt":"load","maxTokens":200}`), p.bearer(p.deployment.Trainer)...)
	}
}

func (p *Player) serversSeen(state standin.State) ServersSeen {
	seen := ServersSeen{}
	for _, order := range state.Orders {
		if order.Pool != p.deployment.Model {
			continue
		}
		if seen.Least == 0 || order.Count < seen.Least {
			seen.Least = order.Count
		}
		seen.Most = max(seen.Most, order.Count)
	}
	return seen
}

// reportUsage waits until the platform has all that the caller used, and adds the reports up.
func (p *Player) reportUsage(ctx context.Context) error {
	wantRequests := uint64(lookups + 1 + 2)
	return until(ctx, "usage reported", usageLimit, func(ctx context.Context) (bool, error) {
		state, err := p.platformState(ctx)
		if err != nil {
			return false, err
		}
		sums, err := sumReports(state)
		if err != nil {
			return false, err
		}
		p.seen.Platform = append([]string{}, state.Violations...)
		for _, sum := range sums {
			if sum.Organisation != p.deployment.Caller {
				continue
			}
			p.seen.Usage = []UsageSeen{sum}
			if sum.Requests >= wantRequests {
				p.tell("usage of %s reported: %d requests, %d tokens, in %d reports", sum.Organisation, sum.Requests, sum.Tokens, len(state.Reports))
				return true, nil
			}
		}
		return false, errors.Errorf("reported so far: %+v", sums)
	})
}

func sumReports(state standin.State) ([]UsageSeen, error) {
	byName := map[string]*UsageSeen{}
	for name, raw := range state.Reports {
		var report platform.UsageReport
		if err := json.Unmarshal(raw, &report); err != nil {
			return nil, errors.Wrap(err, name)
		}
		sum, ok := byName[report.Organisation]
		if !ok {
			sum = &UsageSeen{Organisation: report.Organisation}
			byName[report.Organisation] = sum
		}
		sum.Requests += report.Figures.Requests
		sum.Tokens += report.Figures.Tokens
	}
	sums := make([]UsageSeen, 0, len(byName))
	for _, sum := range byName {
		sums = append(sums, *sum)
	}
	sort.Slice(sums, func(i, j int) bool { return sums[i].Organisation < sums[j].Organisation })
	return sums, nil
}

// lookForKeys searches everything that the plain services received for keys.
func (p *Player) lookForKeys(ctx context.Context) error {
	p.seen.KeysSeen = []string{}
	for _, service := range p.services {
		answer, err := service.do(ctx, http.MethodGet, web.PathState, nil)
		if err != nil {
			return err
		}
		for _, organisation := range []string{p.deployment.Caller, p.deployment.Trainer, p.deployment.Leaver} {
			if strings.Contains(string(answer.Body), p.deployment.Key(organisation)) {
				p.seen.KeysSeen = append(p.seen.KeysSeen, organisation)
			}
		}
	}
	p.tell("keys seen by plain services: %d", len(p.seen.KeysSeen))
	return nil
}
