package binary

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// SmallestHostMemory is the memory in bytes that the smallest host allows a gateway process.
const SmallestHostMemory = 88_000_000

// clockTick is the unit of processor times in /proc, which is 1/100 s on all architectures that Go supports.
const clockTick = 10 * time.Millisecond

// Usage is what a process has used since its start.
type Usage struct {
	// Memory and PeakMemory are its present and its largest resident memory in bytes.
	Memory, PeakMemory int64
	Processor          time.Duration
	// Descriptors is the number of open descriptors.
	Descriptors int
}

// readUsage reads the usage of the process with the ID.
func readUsage(pid int) (Usage, error) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return Usage{}, errors.WithStack(err)
	}
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return Usage{}, errors.WithStack(err)
	}
	descriptors, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil {
		return Usage{}, errors.WithStack(err)
	}
	usage := Usage{Descriptors: len(descriptors)}
	for line := range strings.Lines(string(status)) {
		fields := strings.Fields(line)
		switch {
		case len(fields) < 2:
		case fields[0] == "VmRSS:":
			usage.Memory = kibibytes(fields[1])
		case fields[0] == "VmHWM:":
			usage.PeakMemory = kibibytes(fields[1])
		}
	}
	// The name of the program is in parentheses and may contain spaces. The times in user and in kernel mode are the 12th and the 13th
	// field after it.
	_, rest, _ := strings.Cut(string(stat), ") ")
	fields := strings.Fields(rest)
	if len(fields) < 13 || usage.PeakMemory == 0 {
		return Usage{}, errors.Errorf("process %d has exited", pid)
	}
	for _, field := range fields[11:13] {
		ticks, err := strconv.ParseInt(field, 10, 64)
		if err != nil {
			return Usage{}, errors.Wrapf(err, "processor time of process %d", pid)
		}
		usage.Processor += time.Duration(ticks) * clockTick
	}
	return usage, nil
}

// readRunDelay reads how long the threads of the process have waited for a processor.
func readRunDelay(pid int) (time.Duration, error) {
	paths, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", pid))
	if err != nil {
		return 0, errors.WithStack(err)
	}
	var delay time.Duration
	for _, path := range paths {
		text, err := os.ReadFile(path)
		if err != nil {
			// The thread has ended since.
			continue
		}
		// The fields are the time on a processor, the time of waiting for one, both in nanoseconds, and the number of times on one.
		if fields := strings.Fields(string(text)); len(fields) == 3 {
			nanoseconds, err := strconv.ParseInt(fields[1], 10, 64)
			if err != nil {
				return 0, errors.Wrap(err, path)
			}
			delay += time.Duration(nanoseconds)
		}
	}
	return delay, nil
}

func kibibytes(text string) int64 {
	// The kernel writes a number here, so the error is always nil.
	number, _ := strconv.ParseInt(text, 10, 64)
	return number << 10
}
