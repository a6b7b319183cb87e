package soak

import (
	"os"

	"github.com/oleandershelf/oleandershelf/internal/program/binary"
	"github.com/oleandershelf/oleandershelf/platform/platformtest"
)

// process is a gateway process. It can be restarted on the same addresses.
type process struct {
	*binary.Process
	name, callerURL, readyURL string
	// storeEndpoint is where the process reaches the store, link where the other processes reach the process.
	storeEndpoint *platformtest.Endpoint
	link          *link
	log           *os.File
}

// close kills the process and releases its link and log.
func (p *process) close() {
	p.Kill()
	p.link.close()
	_ = p.log.Close()
}
