package roster

import (
	"net/netip"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Member describes one run of an entry's process.
type Member struct {
	HostID           string         `msgpack:"h" json:"hostId"`
	Address          netip.AddrPort `msgpack:"a" json:"address"`
	AvailabilityZone string         `msgpack:"z" json:"availabilityZone"`
	// Cores is the entry's CPU quota in cores, possibly a fraction; 0 if its settings don't give one.
	Cores float64 `msgpack:"c" json:"cores,omitempty"`
	// Incarnation is random for each start of the process.
	Incarnation uint64 `msgpack:"i" json:"incarnation"`
	// Leaving entries take no new work.
	Leaving bool `msgpack:"l" json:"leaving,omitempty"`
}

// digest returns the member's contribution to the digest of a membership list.
func (m Member) digest() uint64 {
	text := m.Address.String() + "/" + strconv.FormatUint(m.Incarnation, 16)
	if m.Leaving {
		text += "/leaving"
	}
	return xxhash.Sum64String(text)
}

// Update is a change of one member's state, passed on from entry to entry.
type Update struct {
	// ID is random. It is the same in all copies of the update, whichever entries pass it on.
	ID     uint64 `msgpack:"n"`
	Member Member `msgpack:"m"`
	// Silent reports that the member no longer responds; otherwise it is alive in the state that Member gives.
	Silent bool `msgpack:"s"`
	// Age is the time since the change was detected, in milliseconds. It is sent instead of a timestamp because the hosts' clocks differ.
	Age int64 `msgpack:"a"`
}
