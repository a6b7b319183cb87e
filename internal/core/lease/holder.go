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
	// Renewal counts the holder's writes, so that the holder recognises a write whose answer was lost.
	Renewal uint64 `json:"renewal"`
	// Released reports that the holder stopped before it wrote this record, so the next holder need not wait.
	Released bool `json:"released,omitempty"`
	// Past are the hosts that held the duty before, most recent last.
	Past []FormerHolder `json:"past,omitempty"`
	// Notes are information from the holder for readers of the object. The lease ignores them.
	Notes []string `json:"notes,omitempty"`
}

// FormerHolder records when a host stopped being the holder.
type FormerHolder struct {
	HostID string `json:"hostId"`
	// Until is when the next holder took over, by the next holder's wall clock.
	Until time.Time `json:"until"`
}

// sameWrite reports whether two records come from the same write by one holder. Past and Notes are not compared.
func (r Record) sameWrite(other Record) bool {
	return r.Holder == other.Holder && r.Renewal == other.Renewal && r.Released == other.Released
}

// ReadRecord decodes the JSON value of a lease object.
func ReadRecord(value []byte) (Record, error) {
	var record Record
	err := json.Unmarshal(value, &record)
	return record, errors.Wrap(err, "decode lease record")
}
