// Package dispatch decides which item of a batch job runs on which backend server, in pools whose servers differ in speed.
//
// A trainer waits for groups of items, and a group is complete with its last item. Nearly every group has an item that is several times as
// long as the others, so that the long items determine whether a step is in time. On a server that takes twice as long per event they
// aren't. The estimates of lengths are often wrong, so that an item's length shows only while it runs: the package therefore also decides
// when a running item moves to a faster server.
//
// Rank orders the items of a job; it considers all of them and is meant to be called some ten times a second. Plan assigns free slots by a
// ranking; it considers only as many items as there are slots and a few candidates for moves, and is called whenever a slot becomes free.
package dispatch
