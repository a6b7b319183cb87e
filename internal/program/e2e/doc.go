// Package e2e contains end-to-end tests that run the built program as separate processes.
package e2e
