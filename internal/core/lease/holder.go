package lease

import (
	"encoding/json"
	"net/netip"

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
}

// ReadRecord decodes the value of a lease object.
func ReadRecord(value []byte) (Record, error) {
	var record Record
	err := json.Unmarshal(value, &record)
	return record, errors.Wrap(err, "lease record")
}
