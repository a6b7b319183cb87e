// Package crowd tests a gateway process against callers that stay within the limits of a single request and together ask for more than the
// host has. Its tests run one after the other, each with a process of its own.
package crowd
