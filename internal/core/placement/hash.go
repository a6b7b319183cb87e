package placement

import "github.com/cespare/xxhash/v2"

func hashHostID(hostID string) uint64 { return xxhash.Sum64String(hostID) }

// mix spreads the bits of a hash (the finalizer of MurmurHash3).
func mix(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	h ^= h >> 33
	return h
}
