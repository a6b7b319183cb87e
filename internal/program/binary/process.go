package binary

import (
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// Process is a gateway that runs as an operating system process. It can be started again with the same settings.
type Process struct {
	program, settings string
	log               *os.File

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
}

// NewProcess returns a process, not started yet, that runs the program with a settings file and appends its output to the log.
func NewProcess(program, settings string, log *os.File) *Process {
	return &Process{program: program, settings: settings, log: log}
}

// Start starts the process unless it is running.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.isRunning() {
		return nil
	}
	command := exec.Command(p.program, "gateway", "--settings", p.settings) //nolint:noctx // Kill ends it, also when it is paused
	command.Stdout, command.Stderr = p.log, p.log
	if err := command.Start(); err != nil {
		return errors.Wrap(err, p.settings)
	}
	exited := make(chan struct{})
	p.command, p.exited = command, exited
	go func() {
		// A killed process returns an error, which is expected.
		_ = command.Wait()
		close(exited)
	}()
	return nil
}

// isRunning reports whether the process is running. The caller must hold p.mu.
func (p *Process) isRunning() bool {
	if p.exited == nil {
		return false
	}
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// Signal sends a signal to the process if it is running. Only a process that this value started is ever signalled.
func (p *Process) Signal(signal syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.isRunning() {
		// The process may exit at this moment and needs no signal then.
		_ = p.command.Process.Signal(signal)
	}
}

// WaitForExit waits until the process has exited.
func (p *Process) WaitForExit() {
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	if exited != nil {
		<-exited
	}
}

// Kill kills the process and waits until it has exited.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	p.WaitForExit()
}

// RunDelay returns how long the threads of the process were ready to run since their start and had to wait for a processor, in sum. It tells a
// process that is slow from one that other processes hold up.
func (p *Process) RunDelay() (time.Duration, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.isRunning() {
		return 0, errors.Errorf("%s: the process is not running", p.settings)
	}
	return readRunDelay(p.command.Process.Pid)
}

// LimitDescriptors bounds the number of descriptors that the process may have open.
func (p *Process) LimitDescriptors(count int) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.isRunning() {
		return errors.Errorf("%s: the process is not running", p.settings)
	}
	limit := unix.Rlimit{Cur: uint64(count), Max: uint64(count)} //nolint:gosec // a count is positive
	return errors.Wrap(unix.Prlimit(p.command.Process.Pid, unix.RLIMIT_NOFILE, &limit, nil), p.settings)
}

// Usage returns what the process has used since its start. It returns an error if the process isn't running.
func (p *Process) Usage() (Usage, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.isRunning() {
		return Usage{}, errors.Errorf("%s: the process is not running", p.settings)
	}
	return readUsage(p.command.Process.Pid)
}
