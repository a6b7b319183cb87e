package scenario

import (
	"fmt"
	"strings"
	"time"
)

// result is what the callers received in one run.
type result struct {
	// share is what the worst-served organisation got of its fair share.
	share float64
	// shares is what each organisation got of its fair share, and meanShare the least of their means over the seeds.
	shares    []float64
	meanShare float64
	p50       time.Duration
	p99       time.Duration
	// shortP99 is that of short calls of the organisations that ask for less than their share.
	shortP99 time.Duration
	// goodput is the work answered in time within the measured time over the pool's capacity.
	goodput float64
	refused float64
	late    float64
	// back is how many of those that came back when told were served.
	back float64
	// coldKey is what the worst-served key got of what it asked for, up to an equal part.
	coldKey float64
}

// fairShares is what each organisation would get of the capacity of each moment.
func (s *sim) fairShares(available func(time.Duration) float64) []float64 {
	fluids := make([]*fluid, len(s.tallies))
	limits := make([]float64, len(s.tallies))
	for i, t := range s.tallies {
		fluids[i] = &fluid{weight: s.orgs[i].Weight, coming: t.arrivals}
		limits[i] = s.orgs[i].RequestsPerSecond * meanCost
	}
	return fairShares(fluids, available, limits)
}

// modest says that an organisation asked for less than its share of the capacity.
func (s *sim) modest(org int) bool {
	weight := 0.0
	for _, o := range s.orgs {
		weight += o.Weight
	}
	return s.tallies[org].offered < capacity*(end-begin).Seconds()*s.orgs[org].Weight/weight
}

func (s *sim) result(available func(time.Duration) float64) result {
	shares := s.fairShares(available)
	r := result{share: 10, coldKey: 1}
	worst, calls, refused, late, back, backOK, done := 0, 0, 0, 0, 0, 0, 0.0
	var short []time.Duration
	for i, t := range s.tallies {
		part := t.served / shares[i]
		r.shares = append(r.shares, part)
		if part < r.share {
			r.share, worst = part, i
		}
		calls += t.calls
		refused += t.refused
		late += t.late + t.failed
		back += t.back
		backOK += t.backOK
		done += t.done
		if s.modest(i) {
			short = append(short, t.short...)
		}
		r.coldKey = min(r.coldKey, coldKey(t))
	}
	r.p50, r.p99 = quantile(s.tallies[worst].waits, 0.5), quantile(s.tallies[worst].waits, 0.99)
	r.shortP99 = quantile(short, 0.99)
	r.goodput = done / (capacity * (end - begin).Seconds())
	r.refused = float64(refused) / float64(calls)
	r.late = float64(late) / float64(calls)
	r.back = float64(backOK) / max(1, float64(back))
	return r
}

// coldKey is the least share that a key got of what it asked for, up to an equal part of what was served.
func coldKey(t tally) float64 {
	least := 1.0
	for _, k := range t.keys {
		least = min(least, k[1]/min(k[0], max(1, t.served/float64(len(t.keys)))))
	}
	return least
}

// mean averages the runs of several seeds; share is the lowest of them.
func mean(results []result) result {
	n := float64(len(results))
	out := result{share: 10, coldKey: 10, meanShare: 10}
	for org := range results[0].shares {
		sum := 0.0
		for _, r := range results {
			sum += r.shares[org]
		}
		out.meanShare = min(out.meanShare, sum/n)
	}
	for _, r := range results {
		out.share = min(out.share, r.share)
		out.coldKey = min(out.coldKey, r.coldKey)
		out.p50 += r.p50 / time.Duration(n)
		out.p99 += r.p99 / time.Duration(n)
		out.shortP99 += r.shortP99 / time.Duration(n)
		out.goodput += r.goodput / n
		out.refused += r.refused / n
		out.late += r.late / n
		out.back += r.back / n
	}
	return out
}

const header = "| scenario | policy | worst share | worst mean | its p50 wait | its p99 wait | p99 wait of modest | goodput | refused | late or failed | came back served | worst key |\n|---|---|---|---|---|---|---|---|---|---|---|---|\n"

func (r result) row(scenario string, p policy) string {
	seconds := func(d time.Duration) string { return fmt.Sprintf("%.2f s", d.Seconds()) }
	modest := "-"
	if r.shortP99 > 0 {
		modest = seconds(r.shortP99)
	}
	back := "-"
	if r.refused > 0 {
		back = fmt.Sprintf("%.2f", r.back)
	}
	return "| " + strings.Join([]string{
		scenario, string(p), fmt.Sprintf("%.3f", r.share), fmt.Sprintf("%.3f", r.meanShare), seconds(r.p50), seconds(r.p99), modest,
		fmt.Sprintf("%.3f", r.goodput), fmt.Sprintf("%.3f", r.refused), fmt.Sprintf("%.3f", r.late), back,
		fmt.Sprintf("%.2f", r.coldKey),
	}, " | ") + " |\n"
}
