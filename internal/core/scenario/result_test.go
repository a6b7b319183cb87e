package scenario

import (
	"fmt"
	"strings"
	"time"
)

// result is what the clients received in one run, or on average over several runs.
type result struct {
	// minShare is the work that the worst-served organisation received divided by its fair share.
	minShare float64
	// shares holds this quotient for each organisation; minMeanShare is the lowest of their means over the seeds.
	shares       []float64
	minMeanShare float64
	// p50Wait and p99Wait are quantiles of the waits of the worst-served organisation.
	p50Wait time.Duration
	p99Wait time.Duration
	// shortP99Wait is the 99th percentile for short calls of the organisations that request less than their share.
	shortP99Wait time.Duration
	// goodput is the work answered in time between measureStart and measureEnd, divided by the capacity in that time.
	goodput float64
	// refusedShare and lateOrFailedShare are shares of the measured calls at their first submission.
	refusedShare      float64
	lateOrFailedShare float64
	// resubmittedServedShare is the share of the resubmitted calls that were served.
	resubmittedServedShare float64
	// minKeyShare is the lowest result of the function minKeyShare for any organisation.
	minKeyShare float64
}

// fairShares returns the work in tokens that each organisation would receive if the available capacity were shared fairly.
func (s *sim) fairShares(available func(time.Duration) float64) []float64 {
	orgs := make([]*fluidOrganisation, len(s.stats))
	limits := make([]float64, len(s.stats))
	for i, stats := range s.stats {
		orgs[i] = &fluidOrganisation{weight: s.orgs[i].Weight, upcoming: stats.arrivals}
		limits[i] = s.orgs[i].RequestsPerSecond * meanCost
	}
	return fluidFairShares(orgs, available, limits)
}

// requestsLessThanShare reports whether an organisation requested less than its share by weight of the capacity.
func (s *sim) requestsLessThanShare(org int) bool {
	weight := 0.0
	for _, o := range s.orgs {
		weight += o.Weight
	}
	return s.stats[org].offeredWork < capacity*(measureEnd-measureStart).Seconds()*s.orgs[org].Weight/weight
}

// result summarises the run. available returns the capacity at a point in time, in tokens per second.
func (s *sim) result(available func(time.Duration) float64) result {
	shares := s.fairShares(available)
	r := result{minShare: 10, minKeyShare: 1}
	worst, calls, refused, lateOrFailed, resubmitted, resubmittedServed, windowWork := 0, 0, 0, 0, 0, 0, 0.0
	var shortWaits []time.Duration
	for i, stats := range s.stats {
		share := stats.servedWork / shares[i]
		r.shares = append(r.shares, share)
		if share < r.minShare {
			r.minShare, worst = share, i
		}
		calls += stats.calls
		refused += stats.refused
		lateOrFailed += stats.late + stats.failed
		resubmitted += stats.resubmissions
		resubmittedServed += stats.resubmittedServed
		windowWork += stats.windowWork
		if s.requestsLessThanShare(i) {
			shortWaits = append(shortWaits, stats.shortWaits...)
		}
		r.minKeyShare = min(r.minKeyShare, minKeyShare(stats))
	}
	r.p50Wait, r.p99Wait = quantile(s.stats[worst].waits, 0.5), quantile(s.stats[worst].waits, 0.99)
	r.shortP99Wait = quantile(shortWaits, 0.99)
	r.goodput = windowWork / (capacity * (measureEnd - measureStart).Seconds())
	r.refusedShare = float64(refused) / float64(calls)
	r.lateOrFailedShare = float64(lateOrFailed) / float64(calls)
	r.resubmittedServedShare = float64(resubmittedServed) / max(1, float64(resubmitted))
	return r
}

// minKeyShare returns the lowest share that an API key received of what it requested. A key that requested more than an
// equal part of the organisation's served work is compared with that part.
func minKeyShare(stats orgStats) float64 {
	lowest := 1.0
	for _, work := range stats.workByKey {
		lowest = min(lowest, work[1]/min(work[0], max(1, stats.servedWork/float64(len(stats.workByKey)))))
	}
	return lowest
}

// meanResult averages the runs of several seeds, except that minShare and minKeyShare are the lowest of all runs.
func meanResult(results []result) result {
	n := float64(len(results))
	out := result{minShare: 10, minKeyShare: 10, minMeanShare: 10}
	for org := range results[0].shares {
		sum := 0.0
		for _, r := range results {
			sum += r.shares[org]
		}
		out.minMeanShare = min(out.minMeanShare, sum/n)
	}
	for _, r := range results {
		out.minShare = min(out.minShare, r.minShare)
		out.minKeyShare = min(out.minKeyShare, r.minKeyShare)
		out.p50Wait += r.p50Wait / time.Duration(n)
		out.p99Wait += r.p99Wait / time.Duration(n)
		out.shortP99Wait += r.shortP99Wait / time.Duration(n)
		out.goodput += r.goodput / n
		out.refusedShare += r.refusedShare / n
		out.lateOrFailedShare += r.lateOrFailedShare / n
		out.resubmittedServedShare += r.resubmittedServedShare / n
	}
	return out
}

// scenarioHeader names the columns of the scenario table, in the order in which row fills them. "Its" refers to the
// organisation with the worst share, "modest" to organisations that request less than their share, and "came back" to
// calls that were resubmitted after a refusal.
const scenarioHeader = "| scenario | policy | worst share | worst mean | its p50 wait | its p99 wait | p99 wait of modest | goodput | refused | late or failed | came back served | worst key |\n|---|---|---|---|---|---|---|---|---|---|---|---|\n"

// row returns the result as a row of the scenario table.
func (r result) row(scenario string, p policy) string {
	seconds := func(d time.Duration) string { return fmt.Sprintf("%.2f s", d.Seconds()) }
	shortWait := "-"
	if r.shortP99Wait > 0 {
		shortWait = seconds(r.shortP99Wait)
	}
	resubmittedServed := "-"
	if r.refusedShare > 0 {
		resubmittedServed = fmt.Sprintf("%.2f", r.resubmittedServedShare)
	}
	return "| " + strings.Join([]string{
		scenario, string(p), fmt.Sprintf("%.3f", r.minShare), fmt.Sprintf("%.3f", r.minMeanShare),
		seconds(r.p50Wait), seconds(r.p99Wait), shortWait,
		fmt.Sprintf("%.3f", r.goodput), fmt.Sprintf("%.3f", r.refusedShare), fmt.Sprintf("%.3f", r.lateOrFailedShare), resubmittedServed,
		fmt.Sprintf("%.2f", r.minKeyShare),
	}, " | ") + " |\n"
}
