package scenario

import "time"

// fluidStep is the time step of the fluid model, in which work is divisible without limit.
const fluidStep = 100 * time.Millisecond

// arrival is a call in the fluid model.
type arrival struct {
	at time.Duration
	// remaining is the work left in tokens.
	remaining float64
	// lastStart is the latest start that still meets the deadline.
	lastStart time.Duration
	measured  bool
}

// fluidOrganisation is an organisation in the fluid model.
type fluidOrganisation struct {
	weight   float64
	waiting  []arrival
	upcoming []arrival
	// served is the work done for measured calls, in tokens.
	served float64
}

// fluidFairShares returns how much work of measured calls, in tokens, each organisation would get if the available
// capacity were always divided by weight among the organisations that have work (generalized processor sharing). Each
// organisation serves its calls in order of arrival and drops those that can't end in time. limits holds the rate
// limits of the organisations in tokens per second; 0 is none.
func fluidFairShares(orgs []*fluidOrganisation, available func(at time.Duration) float64, limits []float64) []float64 {
	for at := time.Duration(0); at < simulationEnd; at += fluidStep {
		for _, f := range orgs {
			f.advanceTo(at)
		}
		distribute(orgs, available(at)*fluidStep.Seconds(), limits)
	}
	shares := make([]float64, len(orgs))
	for i, f := range orgs {
		shares[i] = f.served
	}
	return shares
}

// advanceTo adds the calls that have arrived, and drops those at the head that can no longer end in time.
func (f *fluidOrganisation) advanceTo(at time.Duration) {
	for len(f.upcoming) > 0 && f.upcoming[0].at <= at {
		f.waiting = append(f.waiting, f.upcoming[0])
		f.upcoming = f.upcoming[1:]
	}
	for len(f.waiting) > 0 && f.waiting[0].lastStart < at {
		f.waiting = f.waiting[1:]
	}
}

// distribute divides the work of one step by weight. What an organisation can't use goes to the others.
func distribute(orgs []*fluidOrganisation, work float64, limits []float64) {
	allowed := make([]float64, len(orgs))
	for i := range orgs {
		allowed[i] = work * 1e9
		if limits[i] > 0 {
			allowed[i] = limits[i] * fluidStep.Seconds()
		}
	}
	for work > 1e-6 {
		weight := 0.0
		for i, f := range orgs {
			if len(f.waiting) > 0 && allowed[i] > 1e-6 {
				weight += f.weight
			}
		}
		if weight == 0 {
			return
		}
		undistributed := work
		for i, f := range orgs {
			if len(f.waiting) > 0 && allowed[i] > 1e-6 {
				done := f.serve(min(undistributed*f.weight/weight, allowed[i]))
				allowed[i] -= done
				work -= done
			}
		}
	}
}

// serve does up to work on the waiting calls in order, and returns how much it did.
func (f *fluidOrganisation) serve(work float64) float64 {
	done := 0.0
	for work-done > 1e-9 && len(f.waiting) > 0 {
		first := &f.waiting[0]
		portion := min(first.remaining, work-done)
		first.remaining -= portion
		done += portion
		if first.measured {
			f.served += portion
		}
		if first.remaining <= 1e-9 {
			f.waiting = f.waiting[1:]
		}
	}
	return done
}
