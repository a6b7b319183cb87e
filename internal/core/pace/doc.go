// Package pace estimates how fast each backend server works. Every entry estimates for itself, from the streams that it receives.
//
// Load addressed: servers of lastingly different speed whose hosts are shared with other tenants, so that a server is slow for half a second
// at a time. Streams slow each other down as well, so that a server with many requests looks slower than an equal one with few.
//
// An Estimator separates these three: the lasting factor of a server, its momentary factor, and the effect of the requests that it runs. A
// pool is uneven once the lasting factors of its servers differ by more than interference, load and chance explain. Until then an entry
// chooses servers as if all were equal.
package pace
