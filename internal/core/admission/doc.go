// Package admission decides at an entry which requests are forwarded to a pool.
//
// Load pattern: one organisation, or one of its keys, sends many times its share; the pool is offered up to
// three times its capacity; refused callers retry on their own.
//
// Without this package every request would be carried to the agents to be refused there, the organisation that
// sends the most would get the most, a hot key would use up the limit for its organisation's other keys, callers
// would wait until their deadline for an answer that can't arrive, and all would retry at the same moment.
//
// There are three checks, none of which delays a request:
//   - the organisation's rate limit: a token bucket with this entry's part of the limit (the limit divided by the
//     number of live entries);
//   - the deadline: a request is refused when even the fastest recent request of its organisation and cost class
//     took longer than the time that remains;
//   - the fair share, only while the pool refuses requests: the measured goodput is divided by weight among the
//     organisations that send requests (max-min fairness), so that an unused share goes to the others at once.
//
// The retry time is when the tokens for the request will be available, after those of all requests refused
// before it, so that callers return one after the other. A key that uses more than its equal part of an
// organisation's bucket leaves half of the bucket to the other keys.
//
// Reasons for the constants:
//   - The pool counts as full while it refuses more than 2 % of a window's requests: a few refusals come with any
//     restart of a server. A window lasts a second, so that an entry with two or three requests a second sees some.
//   - The assumed capacity starts 5 % above the goodput and grows by 5 % per window without refusals. A capacity
//     change of a third is thus followed in six seconds, and the overshoot costs a twentieth of the requests one hop.
//   - The bucket of a share holds two seconds of its rate, that of a rate limit four if no burst is set: with one
//     second, the gaps between random arrivals lost an eighth of a limit.
//   - Callers are told to retry within 30 s at most; a pool that is full for longer has changed by then.
package admission
