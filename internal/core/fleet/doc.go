// Package fleet decides how many backend servers a pool has in an availability zone.
//
// Load pattern: work comes in slow daily waves with bursts on top; a server takes a minute or more to
// start, each running one costs money, and the host list and load reports lag and have gaps.
//
// Without it: servers are paid for at night for the load of noon; or, with a rule that follows the
// load of the moment, each burst orders servers that come after it is over, each pause stops servers
// that are needed a minute later, and a list that loses half its rows in an outage orders or stops
// half a zone at once.
//
// The work is counted in requests (running, waiting and turned away), which by Little's law is the
// offered load in units of a server's slots, whatever the requests cost. The need is the work forecast
// for the time at which a server ordered now would serve.
//
// Grounds for the figures. A server is planned to be 95 % full: each tenth kept free costs a tenth, and the
// need is rounded up. A quarter of the queue counts as work: with all of it a burst of three minutes ordered
// half as many servers again as it needed. The work is smoothed over 30 s and its growth over five minutes, since
// the growth is multiplied by the start-up time. Up goes at once, by at most half of what is ordered, so
// that one wrong figure can't order a zone full. Down waits until the need was lower for one start-up
// time, at least a minute: a server stopped and wanted again within that time
// costs more than one kept. Down goes by a tenth at a time, after draining. The order is left alone while the
// host list is older than 5 s (twice the lag of its refresh), while more than a quarter of the reports
// is missing or older than 10 s, or while the number of live servers has just halved.
package fleet
