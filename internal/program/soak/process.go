package soak

import (
	"os"
	"os/exec"
	"sync"
	"syscall"

	"github.com/pkg/errors"

	"github.com/oleandershelf/oleandershelf/platform/platformtest"
)

// process is one gateway as a process of its own; it starts again at the same addresses.
type process struct {
	name, program, callers, ready, settings string
	// door is its way to the store, link where the other processes reach it.
	door *platformtest.Endpoint
	link *link
	log  *os.File

	mu      sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
}

// start starts the process if it doesn't run.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.runs() {
		return nil
	}
	command := exec.Command(p.program, "gateway", "--settings", p.settings) //nolint:noctx // close ends it, also when it is paused
	command.Stdout, command.Stderr = p.log, p.log
	if err := command.Start(); err != nil {
		return errors.Wrap(err, p.name)
	}
	ended := make(chan struct{})
	p.command, p.ended = command, ended
	go func() {
		// A process that was killed ends with an error, as it must.
		_ = command.Wait()
		close(ended)
	}()
	return nil
}

// runs says whether the process runs. The caller holds the lock.
func (p *process) runs() bool {
	if p.ended == nil {
		return false
	}
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// signal sends a signal to the process if it runs; only processes that this run started are ever signalled.
func (p *process) signal(signal syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.runs() {
		// It may end at this very moment, and then needs no signal.
		_ = p.command.Process.Signal(signal)
	}
}

// wait waits until the process has ended.
func (p *process) wait() {
	p.mu.Lock()
	ended := p.ended
	p.mu.Unlock()
	if ended != nil {
		<-ended
	}
}

// close ends the process for good.
func (p *process) close() {
	p.signal(syscall.SIGKILL)
	p.wait()
	p.link.close()
	_ = p.log.Close()
}
