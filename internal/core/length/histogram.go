package length

import "math"

const (
	// bucketsPerDoubling gives buckets 19 % wide, which is finer than any estimate of a length.
	bucketsPerDoubling = 4
	bucketCount        = 48
	// decay is the factor by which each new sample reduces the weight of the older ones. The last 500 samples count, which are the items
	// of two or three steps.
	decay = 0.998
)

// bounds are the lower bounds of the buckets relative to that of the first one; the last element is the upper bound of the last bucket.
var bounds = func() (b [bucketCount + 1]float64) {
	for i := range b {
		b[i] = math.Exp2(float64(i) / bucketsPerDoubling)
	}
	return b
}()

// halfBucket is the middle of a bucket relative to its lower bound.
var halfBucket = math.Exp2(0.5 / bucketsPerDoubling)

// weights are the decayed numbers of samples in logarithmic buckets.
type weights [bucketCount]float32

// bucketOf returns the bucket of a value relative to the lower bound of the first one.
func bucketOf(value float64) int {
	return min(max(0, int(math.Log2(value)*bucketsPerDoubling)), bucketCount-1)
}

func (w *weights) add(value float64) {
	for i := range w {
		w[i] *= decay
	}
	w[bucketOf(value)]++
}

// addNormal adds samples that are normally distributed by their logarithm, with the median and the deviation in doublings.
func (w *weights) addNormal(median, deviation, total float64) {
	var density [bucketCount]float64
	sum := 0.0
	for i := range density {
		distance := (math.Log2(bounds[i]/median) + 0.5/bucketsPerDoubling) / deviation
		density[i] = math.Exp(-distance * distance / 2)
		sum += density[i]
	}
	for i := range density {
		w[i] += float32(total * density[i] / sum)
	}
}

// remaining returns the mean and the quantile of what is left of the values above produced; false if there are hardly any. The unit is
// the lower bound of the first bucket.
func (w *weights) remaining(unit, produced, quantile float64) (mean, high float64, ok bool) {
	var left [bucketCount]float64
	sum, weighted := 0.0, 0.0
	for i, weight := range w {
		low, top := unit*bounds[i], unit*bounds[i+1]
		if top <= produced || weight == 0 {
			continue
		}
		part, middle := float64(weight), low*halfBucket
		if low < produced {
			// The values in a bucket count as evenly distributed by their logarithm.
			part *= math.Log2(top/produced) * bucketsPerDoubling
			middle = math.Sqrt(produced * top)
		}
		left[i] = part
		sum += part
		weighted += part * (middle - produced)
	}
	if sum < minTailWeight {
		return 0, 0, false
	}
	cumulated := 0.0
	for i, part := range left {
		if cumulated += part; cumulated >= quantile*sum {
			high = unit*bounds[i+1] - produced
			break
		}
	}
	return weighted / sum, high, true
}
