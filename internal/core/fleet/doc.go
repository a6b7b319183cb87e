// Package fleet decides how many backend servers a pool has in an availability zone.
//
// The load has slow daily waves with bursts on top. A server takes a minute or more to start, and each running one
// costs money. The host list and the load reports lag and have gaps.
//
// A fixed number of servers would cost as much at night as at noon. A policy that follows the current load orders
// servers in each burst that start after it is over, and stops servers in each pause that are needed a minute later.
// If an outage removes half of the rows of the host list, such a policy orders or stops half of a zone at once.
//
// The load is counted in requests (running, queued and refused), which by Little's law is the offered load in units
// of a server's slots, whatever the requests cost. The need is the number of servers for the load that is forecast
// for the time when a server ordered now would serve. Each decision compares it with the order in force, that is,
// the number of servers that was last ordered from the platform.
//
// Reasons for the parameters:
//
//   - Target utilisation is 95 %: each tenth of the capacity that is kept free costs a tenth more, and rounding up the
//     need already leaves spare capacity.
//   - A quarter of the queued requests counts as load. With all of them, a burst of three minutes ordered half as many
//     servers again as it needed.
//   - The load is smoothed over at most 30 s. Its growth is smoothed over five minutes, since it is multiplied by the
//     start-up time.
//   - The order is raised at once, but by at most half of its value, so that one wrong measurement can't fill a zone
//     with servers.
//   - The order is lowered when the need has been lower for one start-up time and at least a minute: to stop a server
//     and need it again within that time costs more than to keep it. It is lowered by at most a tenth at a time, and
//     servers are drained first.
//   - The order is left unchanged while the host list is older than 5 s (twice the lag of its refresh), while more than
//     a quarter of the load reports are missing or older than 10 s, or while the number of live servers has just halved.
package fleet
