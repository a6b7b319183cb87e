// Package queue holds the requests that wait at an agent for its backend server and limits how many run
// at a time.
//
// Load pattern: one organisation sends far more than its share, calls of about a second queue behind jobs of
// minutes, callers have deadlines, and a server's latency grows with its concurrency.
//
// Without this package the queue would be first come, first served. Each organisation would then get a share
// in proportion to what it sends, a short call would wait for every long job ahead of it, the queue would grow
// without bound, and the server would work for callers that have given up. A fixed concurrency would either
// leave the server idle or overload it.
//
// Organisations are ordered by start-time fair queueing (Goyal, Vin and Cheng 1996) on cost: the flow with
// the smallest virtual start time goes next, and each item advances its flow's start time by cost divided by
// weight. An idle flow accumulates neither credit nor debt, so an unused share goes to the others at once.
// Within a flow an item's rank is its arrival time plus an allowance for its priority and its cost, so that
// interactive and short calls go first and no item waits for ever.
//
// Long items leave a quarter of the slots to short ones while short ones arrive. A running job isn't
// interrupted, so that without those slots short calls would wait until a long job ends.
//
// The queue is bounded for each organisation and in total. When it is full, the flow with the most queued
// cost for its weight loses its newest item, which has waited least and is furthest from its turn.
//
// A request is refused at once when its answer can't arrive in time, or when it would wait for more than a
// quarter of its remaining time: the rest is needed to run it, and a longer queue would not serve more callers.
//
// Reasons for the constants:
//   - 256 items per organisation and 1,024 in total, at some 10 KB each: for a server that handles about ten
//     requests a second this is at most minutes of work, longer than callers wait.
//   - One priority level counts as 5 s of waiting, because callers of interactive calls give up after some 10 s.
//   - Twice an item's service time is added to its rank; of the factors 0, 2, 4 and 8 this one was best by a little.
//   - An item is long from four times the typical cost, which is two cost classes (powers of two).
//
// docs/DECISIONS.md has the measurements.
package queue
