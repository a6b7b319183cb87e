package lease

import (
	"encoding/json"
	"net/netip"
	"time"

	"github.com/pkg/errors"
)

// Holder names one run of a process that may hold a duty.
type Holder struct {
	HostID  string         `json:"hostId"`
	Address netip.AddrPort `json:"address"`
	// Incarnation is random for each start of the process: a restarted host is another holder.
	Incarnation uint64 `json:"incarnation"`
}

// Record is the value of the lease object.
type Record struct {
	Holder Holder `json:"holder"`
	// Renewal counts the holder's writes, so that a write whose answer was lost is recognised.
	Renewal uint64 `json:"renewal"`
	// Released says that the holder stopped before it wrote this, so nobody needs to wait.
	Released bool `json:"released,omitempty"`
	// Past are the hosts that held the duty before, the last one last.
	Past []Tenure `json:"past,omitempty"`
	// Notes are what the holder tells whoever reads the object; the lease itself makes nothing of them.
	Notes []string `json:"notes,omitempty"`
}

// Tenure is the end of a host's time as the holder.
type Tenure struct {
	HostID string `json:"hostId"`
	// Until is when the next holder took over, by that one's wall clock.
	Until time.Time `json:"until"`
}

// sameWrite says whether two records are the same write of one holder.
func (r Record) sameWrite(other Record) bool {
	return r.Holder == other.Holder && r.Renewal == other.Renewal && r.Released == other.Released
}

// ReadRecord decodes the value of a lease object.
func ReadRecord(value []byte) (Record, error) {
	var record Record
	err := json.Unmarshal(value, &record)
	return record, errors.Wrap(err, "lease record")
}
