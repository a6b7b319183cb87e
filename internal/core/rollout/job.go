package rollout

import (
	"slices"
	"time"
)

// speedHistory is how many finished samples give a job's typical speed: enough for a steady
// median, few enough to follow a new weight version within one step.
const speedHistory = 32

// jobState is what is known about a trainer job.
type jobState struct {
	name   string
	weight float64
	// tag is the virtual time at which the job's next sample may start.
	tag   float64
	steps []*stepState
	// work and copies sum up the expected tokens started first and as copies.
	work   float64
	copies float64
	speeds []float64
	at     int
	// part is the average length of finished samples over their cost, of lengths samples.
	part    float64
	lengths float64
}

// next returns the first step with samples to start, or nil.
func (j *jobState) next() *stepState {
	for _, step := range j.steps {
		if step.waiting > 0 {
			return step
		}
	}
	return nil
}

// learn takes in the speed of a finished sample.
func (j *jobState) learn(speed float64) {
	if speed <= 0 {
		return
	}
	if len(j.speeds) < speedHistory {
		j.speeds = append(j.speeds, speed)
		return
	}
	j.speeds[j.at] = speed
	j.at = (j.at + 1) % speedHistory
}

// learnLength takes in the length of a finished sample over its cost.
func (j *jobState) learnLength(part float64) {
	if part <= 0 {
		return
	}
	j.lengths = min(j.lengths+1, speedHistory)
	j.part += (part - j.part) / j.lengths
}

// lengthPart is the usual length of a sample over its cost; 1 if too few are known.
func (j *jobState) lengthPart() float64 {
	if j.lengths < leastSpeeds {
		return 1
	}
	return j.part
}

// typicalSpeed is the median speed of the samples finished last; 0 if too few are known.
func (j *jobState) typicalSpeed() float64 {
	if len(j.speeds) < leastSpeeds {
		return 0
	}
	sorted := slices.Sorted(slices.Values(j.speeds))
	return sorted[len(sorted)/2]
}

// gain is the time that a copy of the sample would save; 0 if it isn't a straggler, or hasn't run for the
// usual time of a whole sample yet: the first tokens wait for the prompt.
func (j *jobState) gain(now time.Time, sample *sampleState) time.Duration {
	typical := j.typicalSpeed()
	if typical == 0 || now.Sub(sample.started).Seconds() < sample.expected()/typical {
		return 0
	}
	speed := max(sample.speed(now), typical*leastSpeedPart)
	own := sample.rest() / speed
	fresh := sample.rest() / typical
	if own < stragglerFactor*fresh {
		return 0
	}
	return time.Duration((own - fresh) * float64(time.Second))
}

// stalled says that no token has come for the usual time of a whole sample.
func (j *jobState) stalled(now time.Time, sample *sampleState) bool {
	return now.Sub(sample.moved).Seconds()*j.typicalSpeed() >= sample.expected()
}
