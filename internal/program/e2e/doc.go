// Package e2e holds the tests that start the built program as separate processes.
package e2e
