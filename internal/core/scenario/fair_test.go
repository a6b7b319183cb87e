package scenario

import "time"

// fluidStep is the time step of the fluid model.
const fluidStep = 100 * time.Millisecond

// arrival is a call as work that flows.
type arrival struct {
	at        time.Duration
	left      float64
	lastStart time.Duration
	measured  bool
}

// fluid is an organisation in the fluid model.
type fluid struct {
	weight  float64
	waiting []arrival
	coming  []arrival
	served  float64
}

// fairShares is the measured work that each organisation would get if the capacity of each moment were
// divided by weight among those that have work (generalized processor sharing), each serving its calls in
// order and giving up those that can't end in time. limits are the parts of the capacity that the
// organisations' rates allow; 0 is none.
func fairShares(fluids []*fluid, available func(at time.Duration) float64, limits []float64) []float64 {
	for at := time.Duration(0); at < drain; at += fluidStep {
		for _, f := range fluids {
			f.take(at)
		}
		flow(fluids, available(at)*fluidStep.Seconds(), limits)
	}
	shares := make([]float64, len(fluids))
	for i, f := range fluids {
		shares[i] = f.served
	}
	return shares
}

// take lets calls arrive and gives up those that can't start in time.
func (f *fluid) take(at time.Duration) {
	for len(f.coming) > 0 && f.coming[0].at <= at {
		f.waiting = append(f.waiting, f.coming[0])
		f.coming = f.coming[1:]
	}
	for len(f.waiting) > 0 && f.waiting[0].lastStart < at {
		f.waiting = f.waiting[1:]
	}
}

// flow divides the work of one step.
func flow(fluids []*fluid, work float64, limits []float64) {
	allowed := make([]float64, len(fluids))
	for i := range fluids {
		allowed[i] = work * 1e9
		if limits[i] > 0 {
			allowed[i] = limits[i] * fluidStep.Seconds()
		}
	}
	for work > 1e-6 {
		weight := 0.0
		for i, f := range fluids {
			if len(f.waiting) > 0 && allowed[i] > 1e-6 {
				weight += f.weight
			}
		}
		if weight == 0 {
			return
		}
		left := work
		for i, f := range fluids {
			if len(f.waiting) > 0 && allowed[i] > 1e-6 {
				done := f.serve(min(left*f.weight/weight, allowed[i]))
				allowed[i] -= done
				work -= done
			}
		}
	}
}

// serve works on the first calls and returns the work done.
func (f *fluid) serve(work float64) float64 {
	done := 0.0
	for work-done > 1e-9 && len(f.waiting) > 0 {
		first := &f.waiting[0]
		part := min(first.left, work-done)
		first.left -= part
		done += part
		if first.measured {
			f.served += part
		}
		if first.left <= 1e-9 {
			f.waiting = f.waiting[1:]
		}
	}
	return done
}
