// Package roster keeps an entry's membership list: which other entries are alive, and which of them this entry calls next.
//
// It is designed for up to 380 entries. Each runs jobs and counts usage that others must take over, so all entries must learn of a failure
// within two seconds. On an ordinary day 16 hosts fail and 160 are restarted, so almost all calls find that nothing has changed.
//
// The alternative, in which each entry sends everything it knows to every other one, makes the traffic that an entry receives grow with the
// square of the number of entries.
//
// The entries form a ring, sorted by a hash of the host ID, so that all entries agree on the order. Several times a second each entry calls
// three successors: the next entry and two further along (of 380 entries the 7th and the 52nd). It monitors those three and the three that
// call it, and calls one of the other entries now and then. A change (an entry joins, leaves, restarts or stops responding) spreads as an
// update, which each entry passes on for some seconds. The full list is sent only to an entry whose digest of the list differs.
package roster
