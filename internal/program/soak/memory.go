package soak

import (
	"context"
	"debug/buildinfo"
	"sync"
	"time"

	"github.com/oleandershelf/oleandershelf/internal/edge/ticker"
	"github.com/oleandershelf/oleandershelf/internal/program/binary"
)

// memoryInterval is how often the memory of the processes is read. The peak of the time since the last read is lost when a process is killed.
const memoryInterval = 50 * time.Millisecond

// memoryPeaks holds the largest resident memory of each process in bytes, over all its restarts.
type memoryPeaks struct {
	mu    sync.Mutex
	bytes map[string]int64
}

// record reads the memory of the processes until ctx ends.
func (m *memoryPeaks) record(ctx context.Context, processes []*process) {
	for ticker.Sleep(ctx, memoryInterval) {
		for _, p := range processes {
			// A process that is being restarted has no memory to read.
			if usage, err := p.Usage(); err == nil {
				m.mu.Lock()
				m.bytes[p.name] = max(m.bytes[p.name], usage.PeakMemory)
				m.mu.Unlock()
			}
		}
	}
}

// hasRaceDetector reports whether the program was built with the race detector, which takes several times the memory.
func hasRaceDetector(program string) bool {
	info, err := buildinfo.ReadFile(program)
	if err != nil {
		return false
	}
	for _, setting := range info.Settings {
		if setting.Key == "-race" && setting.Value == "true" {
			return true
		}
	}
	return false
}

// checkMemory checks the largest memory of each process, unless the program has the race detector.
func (l *loadGenerator) checkMemory(program string) {
	if hasRaceDetector(program) {
		return
	}
	peaks := &l.env.memory
	peaks.mu.Lock()
	defer peaks.mu.Unlock()
	for _, p := range l.env.processes {
		peak := peaks.bytes[p.name]
		l.checker.check(guaranteeMemory, peak <= binary.SmallestHostMemory, "%s took %.1f MB", p.name, float64(peak)/1e6)
	}
}
