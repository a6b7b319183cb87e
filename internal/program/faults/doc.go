// Package faults holds the fault matrix: which fault at which step is proved by which test, cannot occur, or is open.
// docs/FAULTS.md is written from it.
package faults
