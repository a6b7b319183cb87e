package soak

import (
	"os"
	"os/exec"
	"sync"
	"syscall"

	"github.com/pkg/errors"

	"github.com/oleandershelf/oleandershelf/platform/platformtest"
)

// process is a gateway that runs as an operating system process. It can be restarted on the same addresses.
type process struct {
	name, program, callerURL, readyURL, settings string
	// storeEndpoint is where the process reaches the store, link where the other processes reach the process.
	storeEndpoint *platformtest.Endpoint
	link          *link
	log           *os.File

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
}

// start starts the process unless it is running.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.isRunning() {
		return nil
	}
	command := exec.Command(p.program, "gateway", "--settings", p.settings) //nolint:noctx // close kills it, also when it is paused
	command.Stdout, command.Stderr = p.log, p.log
	if err := command.Start(); err != nil {
		return errors.Wrap(err, p.name)
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
func (p *process) isRunning() bool {
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

// signal sends a signal to the process if it is running. Only processes that this run started are ever signalled.
func (p *process) signal(signal syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.isRunning() {
		// The process may exit at this moment and needs no signal then.
		_ = p.command.Process.Signal(signal)
	}
}

// waitForExit waits until the process has exited.
func (p *process) waitForExit() {
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	if exited != nil {
		<-exited
	}
}

// close kills the process and releases its link and log.
func (p *process) close() {
	p.signal(syscall.SIGKILL)
	p.waitForExit()
	p.link.close()
	_ = p.log.Close()
}
