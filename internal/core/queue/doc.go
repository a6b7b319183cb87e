// Package queue holds the requests that wait at an agent for its backend server, and sets how many
// run at a time.
//
// Load pattern: one organisation sends far more than its share; calls of a second stand behind
// jobs of minutes; callers have deadlines; a server's latency grows with what runs on it at once.
//
// Without it: first come first served gives each organisation a share by how much it sends, a short
// call waits for all long jobs before it, the queue grows without bound and the server works for
// callers that have given up, and a fixed concurrency either leaves the server idle or overloads it.
//
// Order between organisations is start-time fair queueing (Goyal, Vin and Cheng 1996) on cost: the
// lane with the smallest virtual start time goes next, and an item moves its lane's time on by cost
// over weight. An idle lane saves nothing up and owes nothing, so an unused share goes to the others
// at once. Within a lane an item's rank is the time it came plus an allowance for its priority and
// its length, so that interactive and short calls go first and none waits for ever.
//
// Long items leave a quarter of the slots to short ones while there are short ones: a slot taken by a
// long job can't be taken back, so order alone would leave short calls waiting for a long one to end.
//
// The queue is bounded for each organisation and in total. When it is full the lane with the most work
// for its weight loses its newest item: it waited least and is the furthest from its turn.
//
// A request is refused at once when its answer can't come in time, or when it would wait for more than a quarter
// of the time that remains: the rest belongs to its run, and a queue that is longer serves nobody more.
//
// Grounds for the figures. 256 items a lane and 1,024 in total: a server of some ten requests a second
// then holds at most minutes of work, beyond what callers wait for, at some 10 KB each. A priority counts as
// 5 s of waiting: callers of interactive calls give up after some 10 s. Length counts twice the work's time
// at the server, the best of 0, 2, 4 and 8 by a little. An item is
// long from four times the typical cost, two steps of the cost classes. docs/DECISIONS.md has the measurements.
package queue
