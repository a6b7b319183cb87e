// Package readiness decides which backend servers may get a request now. Every request that an entry sends asks it first: calls, items of
// batch jobs, reward calls, the repeats and continuations of these, and orders to load weights. An entry is a process that accepts requests
// and forwards them to backend servers.
//
// It answers three load patterns:
//
//   - An operator evacuates an availability zone before work on it. The servers there must get nothing new, from no entry, until the
//     evacuation ends. What already runs there is allowed to finish.
//   - Servers start, or a zone of them returns after an evacuation, while requests wait for a free slot. All entries see the empty server at
//     once and don't know each other's choices, so that it gets several times the requests that it bears while it is cold, and crashes.
//   - The homes of a request exclude regions. No server there may get it.
//
// A cold server is used only by the entry that its rank selects, at no more than the server's limit in any second. The rank is computed from
// the list of living entries, so that entries need no messages to agree. Entries whose lists differ could select two: an entry
// therefore uses cold servers only after its list has settled, and while it contains more than half of the entries that it has seen
// recently, which at most one side of a partition does.
//
// Times come from the steady clock, and the order of reports from the revisions of the store, so that a stepped clock changes nothing.
package readiness
