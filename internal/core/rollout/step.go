package rollout

// Sample is a sample to generate.
type Sample struct {
	// ID is unique across all jobs and steps.
	ID string
	// Cost is the expected number of tokens; 0 counts as 1.
	Cost float64
	// Tokens is the length of a prefix that was already generated, for example before the job's coordinator changed.
	Tokens int
}

// Group is a set of samples that a trainer uses together.
type Group struct {
	Samples []Sample
}

// Step holds the groups of samples that a trainer requests at once.
type Step struct {
	Job    string
	Number int
	// Weight is the job's share of the engines relative to other jobs; 0 counts as 1.
	Weight float64
	Groups []Group
}

// Generation is one run of an engine to generate a sample, or the rest of it, that is to be started.
type Generation struct {
	Job      string
	Step     int
	Group    int
	SampleID string
	// Tokens is the length of the prefix that the generation resumes from.
	Tokens int
	// Copy reports that another generation of the sample is running. The result of the first to finish is used.
	Copy bool
}

// stepState is the progress of a step.
type stepState struct {
	number int
	job    *jobState
	groups []*groupState
	// partlyStarted holds the groups of which samples were started and others wait to be started.
	partlyStarted []*groupState
	// firstUntouched is the index of the first group of which no sample was ever started.
	firstUntouched int
	waiting        int
	unfinished     int
	size           int
}

// groupState is the progress of a group.
type groupState struct {
	index int
	step  *stepState
	// waiting holds the samples to start, in their order.
	waiting    []*sampleState
	size       int
	unfinished int
}

// nextGroup returns the group whose sample is to be started next, or nil.
func (s *stepState) nextGroup() *groupState {
	if group := s.fewestUnfinished(); group != nil {
		return group
	}
	if s.firstUntouched >= len(s.groups) {
		return nil
	}
	group := s.groups[s.firstUntouched]
	s.firstUntouched++
	s.partlyStarted = append(s.partlyStarted, group)
	return group
}

// fewestUnfinished returns the partly started group with the fewest unfinished samples, or nil.
func (s *stepState) fewestUnfinished() *groupState {
	var best *groupState
	remaining := s.partlyStarted[:0]
	for _, group := range s.partlyStarted {
		if len(group.waiting) == 0 {
			continue
		}
		remaining = append(remaining, group)
		if best == nil || group.unfinished < best.unfinished || group.unfinished == best.unfinished && group.index < best.index {
			best = group
		}
	}
	s.partlyStarted = remaining
	return best
}

// nearlyDone reports whether all samples of the group were started, and at most a quarter of the group or of its
// step is unfinished.
func (g *groupState) nearlyDone() bool {
	if len(g.waiting) > 0 {
		return false
	}
	return g.unfinished*nearlyDoneDivisor <= g.size || g.step.unfinished*nearlyDoneDivisor <= g.step.size
}
