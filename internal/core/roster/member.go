package roster

import (
	"net/netip"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Member is one run of an entry.
type Member struct {
	HostID           string         `msgpack:"h" json:"hostId"`
	Address          netip.AddrPort `msgpack:"a" json:"address"`
	AvailabilityZone string         `msgpack:"z" json:"availabilityZone"`
	// Cores is the processor time that the entry has, as part of a core; 0 if its settings don't say.
	Cores float64 `msgpack:"c" json:"cores,omitempty"`
	// Incarnation is random for each start of the process.
	Incarnation uint64 `msgpack:"i" json:"incarnation"`
	// Leaving entries take no new work.
	Leaving bool `msgpack:"l" json:"leaving,omitempty"`
}

// digest is the member's part of the digest of a list.
func (m Member) digest() uint64 {
	text := m.Address.String() + "/" + strconv.FormatUint(m.Incarnation, 16)
	if m.Leaving {
		text += "/leaving"
	}
	return xxhash.Sum64String(text)
}

// News is a change of one member, told from entry to entry.
type News struct {
	// ID is random, and the same on all ways by which the news comes.
	ID     uint64 `msgpack:"n"`
	Member Member `msgpack:"m"`
	// Silent says that the member isn't heard of any more; else it is there as told.
	Silent bool `msgpack:"s"`
	// Age is the time since the change was noticed, in milliseconds. Ages, not times, go over the wire: clocks differ.
	Age int64 `msgpack:"a"`
}
