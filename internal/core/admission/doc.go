// Package admission decides at an entry which requests go on to a pool.
//
// Load pattern: one organisation, or one key of it, sends many times its share; the pool is offered up to
// three times what it can do; callers come back on their own when they are refused.
//
// Without it: each request is carried to the agents to be refused there, the organisation that sends
// most gets most, a hot key uses up the limit of its organisation's other keys, callers wait until
// their deadline for an answer that can't come, and all come back at the same moment.
//
// Three checks, none of which holds a request back:
//   - the organisation's rate, a token bucket with its part of the limit (the limit over the live entries);
//   - the deadline: refused when even the fastest request of late of that organisation and class of
//     cost took longer than what remains;
//   - the fair share, only while the pool refuses: the measured goodput is divided by weight among the
//     organisations that ask (max-min fairness), so that an unused share goes to the others at once.
//
// The time to come back is when the tokens for the request will be there, behind all requests refused
// before it, so that callers come back one after the other. A key that uses more than its equal part of an
// organisation's bucket leaves half of the bucket to the other keys.
//
// Grounds for the figures. The pool counts as full while more than 2 % of a window's requests are
// refused there: single refusals come with any restart of a server. A window lasts a second, so that an entry
// with two or three requests a second sees some. The capacity tried is 5 % above the goodput and grows by 5 % a
// window without refusals: a change of a third is followed in six seconds, and the overshoot costs a twentieth
// of the requests a hop. A share's bucket holds two seconds, a rate's four if no burst is set: with one, the
// gaps of random arrivals lost an eighth of a limit. At most 30 s is told to callers: what is full for longer has changed by then.
package admission
