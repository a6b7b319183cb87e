package placement

// Subset returns the servers of a pool that an entry uses.
func Subset(_, _ string, servers []Server, size int) []Server {
	return servers[:min(size, len(servers))]
}
