package rollout

import (
	"slices"
	"time"
)

// speedHistory is the number of finished samples that determine a job's typical speed and length: enough for
// a stable median, and few enough to adapt to a new weight version within one step.
const speedHistory = 32

// jobState is the scheduling state of a trainer job.
type jobState struct {
	name   string
	weight float64
	// startTag is the virtual time at which the job's next sample may start, as in start-time fair queueing.
	startTag float64
	steps    []*stepState
	// primaryTokens is the sum of the expected tokens of generations that aren't copies, and copyTokens that of
	// charged copies.
	primaryTokens float64
	copyTokens    float64
	// speeds holds the tokens per second of the samples finished last; once it is full, the one at nextSpeedIndex
	// is replaced next.
	speeds         []float64
	nextSpeedIndex int
	// lengthRatio is the average ratio of length to cost of finished samples. The field lengthCount counts them up
	// to speedHistory; from then on the average is an exponential moving average.
	lengthRatio float64
	lengthCount float64
}

// nextStep returns the first step with samples that wait to be started, or nil.
func (j *jobState) nextStep() *stepState {
	for _, step := range j.steps {
		if step.waiting > 0 {
			return step
		}
	}
	return nil
}

// recordSpeed adds the speed of a finished sample in tokens per second.
func (j *jobState) recordSpeed(speed float64) {
	if speed <= 0 {
		return
	}
	if len(j.speeds) < speedHistory {
		j.speeds = append(j.speeds, speed)
		return
	}
	j.speeds[j.nextSpeedIndex] = speed
	j.nextSpeedIndex = (j.nextSpeedIndex + 1) % speedHistory
}

// recordLength adds the ratio of a finished sample's length to its cost.
func (j *jobState) recordLength(ratio float64) {
	if ratio <= 0 {
		return
	}
	j.lengthCount = min(j.lengthCount+1, speedHistory)
	j.lengthRatio += (ratio - j.lengthRatio) / j.lengthCount
}

// typicalLengthRatio returns the average ratio of a sample's length to its cost; 1 if too few samples have
// finished.
func (j *jobState) typicalLengthRatio() float64 {
	if j.lengthCount < minFinishedSamples {
		return 1
	}
	return j.lengthRatio
}

// typicalSpeed returns the median speed of the samples finished last in tokens per second; 0 if too few samples
// have finished.
func (j *jobState) typicalSpeed() float64 {
	if len(j.speeds) < minFinishedSamples {
		return 0
	}
	sorted := slices.Sorted(slices.Values(j.speeds))
	return sorted[len(sorted)/2]
}

// timeSaved returns the time that a copy of the sample would save. It returns 0 if the sample isn't a straggler,
// or hasn't run for the usual time of a complete sample yet: before the first token the prompt is processed.
func (j *jobState) timeSaved(now time.Time, sample *sampleState) time.Duration {
	typicalSpeed := j.typicalSpeed()
	if typicalSpeed == 0 || now.Sub(sample.started).Seconds() < sample.expectedTokens()/typicalSpeed {
		return 0
	}
	ownSpeed := max(sample.speed(now), typicalSpeed*minSpeedRatio)
	ownTime := sample.remainingTokens() / ownSpeed
	copyTime := sample.remainingTokens() / typicalSpeed
	if ownTime < stragglerFactor*copyTime {
		return 0
	}
	return time.Duration((ownTime - copyTime) * float64(time.Second))
}

// stalled reports whether no token has arrived for the usual time of a complete sample.
func (j *jobState) stalled(now time.Time, sample *sampleState) bool {
	return now.Sub(sample.lastProgress).Seconds()*j.typicalSpeed() >= sample.expectedTokens()
}
