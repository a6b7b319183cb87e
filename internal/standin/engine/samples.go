package engine

import (
	"context"
	"maps"
)

// samples tracks the running generations of each sample, and how often one was started.
type samples struct {
	next    int
	running map[string]map[int]context.CancelFunc
	started map[string]int
}

func newSamples() samples {
	return samples{
		running: make(map[string]map[int]context.CancelFunc),
		started: make(map[string]int),
	}
}

func (s *samples) add(sampleID string, cancel context.CancelFunc) int {
	s.next++
	s.started[sampleID]++
	if s.running[sampleID] == nil {
		s.running[sampleID] = make(map[int]context.CancelFunc)
	}
	s.running[sampleID][s.next] = cancel
	return s.next
}

func (s *samples) remove(sampleID string, id int) {
	delete(s.running[sampleID], id)
	if len(s.running[sampleID]) == 0 {
		delete(s.running, sampleID)
	}
}

// cancel ends all generations of the sample.
func (s *samples) cancel(sampleID string) {
	for _, cancel := range s.running[sampleID] {
		cancel()
	}
}

func (s *samples) copyStarted() map[string]int {
	return maps.Clone(s.started)
}
