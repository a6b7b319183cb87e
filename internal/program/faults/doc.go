// Package faults holds the fault matrix and the tests that inject faults into running entries and agents. For each step
// and fault the matrix names the tests that cover it, or the reason why it cannot occur. docs/FAULTS.md is generated from it.
package faults
