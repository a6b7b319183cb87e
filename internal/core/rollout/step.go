package rollout

// Sample is one sample to be generated.
type Sample struct {
	// ID is unique over all jobs and steps.
	ID string
	// Cost is the expected number of tokens; 0 counts as 1.
	Cost float64
	// Tokens is the length of a prefix that exists already, as after a change of coordinator.
	Tokens int
}

// Group is a set of samples that are used together.
type Group struct {
	Samples []Sample
}

// Step is what a trainer asks for at once.
type Step struct {
	Job    string
	Number int
	// Weight is the job's share of the engines; 0 counts as 1.
	Weight float64
	Groups []Group
}

// Work is one generation to start.
type Work struct {
	Job      string
	Step     int
	Group    int
	SampleID string
	// Tokens is the length of the prefix to resume from.
	Tokens int
	// Copy says that the sample is running elsewhere too; the first to finish counts.
	Copy bool
}

// stepState is the progress of a step.
type stepState struct {
	number int
	job    *jobState
	groups []*groupState
	// begun holds the groups that have been started in part and have samples to start.
	begun []*groupState
	// untouched is the index of the first group of which no sample was started.
	untouched int
	waiting   int
	left      int
	size      int
}

// groupState is the progress of a group.
type groupState struct {
	index int
	step  *stepState
	// waiting is sorted by the order of starting.
	waiting []*sampleState
	size    int
	left    int
}

// next returns the group whose sample is to start next, or nil.
func (s *stepState) next() *groupState {
	if group := s.leastLeft(); group != nil {
		return group
	}
	if s.untouched >= len(s.groups) {
		return nil
	}
	group := s.groups[s.untouched]
	s.untouched++
	s.begun = append(s.begun, group)
	return group
}

// leastLeft returns the group already begun that needs the fewest samples to be whole.
func (s *stepState) leastLeft() *groupState {
	var best *groupState
	kept := s.begun[:0]
	for _, group := range s.begun {
		if len(group.waiting) == 0 {
			continue
		}
		kept = append(kept, group)
		if best == nil || group.left < best.left || group.left == best.left && group.index < best.index {
			best = group
		}
	}
	s.begun = kept
	return best
}

// nearlyWhole says that the group, or the step round it, only waits for its last quarter, which runs.
func (g *groupState) nearlyWhole() bool {
	if len(g.waiting) > 0 {
		return false
	}
	return g.left*nearlyWholePart <= g.size || g.step.left*nearlyWholePart <= g.step.size
}
