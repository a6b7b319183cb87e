// Package settings reads the settings of one process: JSON with comments, in which an unknown,
// ill-typed or contradictory field is refused with file, line and field.
package settings

import (
	"net/netip"
	"os"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
)

// Role is the process for which settings are read.
type Role string

// The roles that read settings.
const (
	RoleEntry Role = "entry"
	RoleAgent Role = "agent"
	// RoleGateway is an entry that calls backend servers itself.
	RoleGateway Role = "gateway"
)

// Defaults of the optional fields.
const (
	DefaultUsageWindow    = time.Hour
	DefaultDrainTime      = 2 * time.Minute
	DefaultLeaveDelay     = 3 * time.Second
	DefaultBodyLimitBytes = 4 << 20
	minSecretLength       = 16
	// loopbackSecret serves processes that listen on loopback addresses only, where no other host can connect.
	loopbackSecret = "loopback-only-peer-secret"
)

// Settings are what a process is told at its start; all else comes from the platform.
type Settings struct {
	// Listen takes callers, trainers and operators (entry only).
	Listen netip.AddrPort
	// PeerListen takes connections of the system's other processes.
	PeerListen netip.AddrPort
	// PeerAdvertise is where the other entries reach PeerListen, if that is another address (gateway only).
	PeerAdvertise netip.AddrPort
	// AdminListen takes /metrics, /healthz, /readyz and /debug/state.
	AdminListen      netip.AddrPort
	AvailabilityZone string
	HostID           string
	PlatformURL      string
	// DataFolder is the one folder for bulk data; empty on hosts that keep nothing.
	DataFolder string
	LogLevel   zerolog.Level
	// Pool and ServerURL name the agent's backend server.
	Pool      string
	ServerURL string
	// WeightSpread is the time over which the agents of a model load announced weights, each at its own
	// moment, so that a rate-limited weight store isn't asked by all at once; 0 is at once.
	WeightSpread time.Duration
	// PeerSecret is shared by all processes of one deployment.
	PeerSecret string
	// TLSCertificateFile, TLSKeyFile and TLSAuthorityFile turn on TLS between processes.
	TLSCertificateFile string
	TLSKeyFile         string
	TLSAuthorityFile   string
	// OperatorKeyHashes are SHA-256 sums of the keys that may apply tickets; empty leaves the ticket interface open.
	OperatorKeyHashes []string
	UsageWindow       time.Duration
	// ProcessorCores is the processor time that the process has, in cores; 0 if it isn't said. Entries with less than half of what
	// the largest one has don't run batch jobs.
	ProcessorCores float64
	// LeaveDelay is how long a leaving process still takes requests while the balancer and its peers learn of it.
	LeaveDelay time.Duration
	// DrainTime bounds a graceful shutdown.
	DrainTime      time.Duration
	BodyLimitBytes int
	// ReportsURL is where the platform takes usage reports (gateway only).
	ReportsURL string
	// Seeds are addresses at which other entries may be (gateway only).
	Seeds []netip.AddrPort
}

// PeerAddress is where the other entries reach this one.
func (s *Settings) PeerAddress() netip.AddrPort {
	if s.PeerAdvertise.IsValid() {
		return s.PeerAdvertise
	}
	return s.PeerListen
}

// Load reads the file and checks it for the role.
func Load(path string, role Role) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Wrap(err, "settings")
	}
	return Parse(path, data, role)
}

// Parse checks the content of the file named path for the role. All problems come in one error, sorted by line.
func Parse(path string, data []byte, role Role) (Settings, error) {
	doc, err := parseDocument(path, data)
	if err != nil {
		return Settings{}, err
	}
	set := Settings{
		LogLevel:       zerolog.InfoLevel,
		UsageWindow:    DefaultUsageWindow,
		LeaveDelay:     DefaultLeaveDelay,
		DrainTime:      DefaultDrainTime,
		BodyLimitBytes: DefaultBodyLimitBytes,
	}
	doc.apply(&set, role)
	set.check(doc, role)
	if set.PeerSecret == "" && set.PeerListen.Addr().IsLoopback() {
		set.PeerSecret = loopbackSecret
	}
	return set, doc.problems()
}

func (s *Settings) check(doc *document, role Role) {
	required := []string{"peerListen", "adminListen", "availabilityZone", "hostId", "platformUrl"}
	switch role {
	case RoleEntry:
		required = append(required, "listen")
		doc.refuseFor(role, "pool", "serverUrl", "weightSpread", "reportsUrl", "seeds")
	case RoleAgent:
		required = append(required, "pool", "serverUrl")
		doc.refuseFor(role, "listen", "operatorKeyHashes", "bodyLimitBytes", "reportsUrl", "seeds")
	case RoleGateway:
		required = append(required, "listen", "reportsUrl")
		doc.refuseFor(role, "pool", "serverUrl", "weightSpread", "operatorKeyHashes", "dataFolder")
	}
	doc.require(required...)
	s.checkSecret(doc)
	s.checkAddresses(doc)
	s.checkTLS(doc)
}

func (s *Settings) checkSecret(doc *document) {
	if doc.has("peerSecret") || !s.PeerListen.IsValid() || s.PeerListen.Addr().IsLoopback() {
		return
	}
	doc.refuse("peerListen", "%s is reached by other hosts, so peerSecret must be set to a secret of at least %d characters, the same on all hosts", s.PeerListen, minSecretLength)
}

func (s *Settings) checkAddresses(doc *document) {
	seen := map[netip.AddrPort]string{}
	for _, field := range []struct {
		name string
		addr netip.AddrPort
	}{{"listen", s.Listen}, {"peerListen", s.PeerListen}, {"adminListen", s.AdminListen}} {
		if !field.addr.IsValid() || field.addr.Port() == 0 {
			continue
		}
		if other, taken := seen[field.addr]; taken {
			doc.refuse(field.name, "%s is the address of %s too; each needs its own port", field.addr, other)
			continue
		}
		seen[field.addr] = field.name
	}
}

func (s *Settings) checkTLS(doc *document) {
	names := []string{"tlsCertificateFile", "tlsKeyFile", "tlsAuthorityFile"}
	set := 0
	for _, name := range names {
		if doc.has(name) {
			set++
		}
	}
	if set == 0 || set == len(names) {
		return
	}
	for _, name := range names {
		if doc.has(name) {
			doc.refuse(name, "TLS needs all of tlsCertificateFile, tlsKeyFile and tlsAuthorityFile, or none")
			return
		}
	}
}
