// Package binary builds the program for tests that run it in separate processes, runs it, and reads what its processes use.
package binary

import (
	"os"
	"os/exec"
	"path/filepath"
	"sync"

	"github.com/pkg/errors"
)

// Path builds the program once per test binary and returns its path. The calling test must be in a package at internal/program/NAME,
// since the module root is addressed as ../../.. from its working directory.
var Path = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "oleandershelf-test")
	if err != nil {
		return "", err
	}
	path := filepath.Join(dir, "oleandershelf")
	out, err := exec.Command("go", "build", "-o", path, "../../..").CombinedOutput()
	return path, errors.Wrapf(err, "go build: %s", out)
})
