// Package roster decides whom an entry talks to and which other entries it takes for alive.
//
// Load pattern: up to 380 entries that all must know who lives, within two seconds of a death, since each runs jobs and counts usage that
// others must take over; 16 hosts fail and 160 are restarted on an ordinary day, so that almost always nothing has changed.
//
// Without it: each entry tells every other one everything it knows, and what an entry receives grows with the square of their number.
//
// Entries stand in a ring in an order by hash that is the same for all. Each calls the next one and two further on several times a second
// (of 380 entries the 7th and the 52nd), watches those and the three that call it, and calls one of the others now and then. What changes
// (an entry joins, leaves, starts anew, falls silent) is told as news, which each entry passes on for some seconds; the whole list goes
// only to one whose digest of the list differs.
package roster
