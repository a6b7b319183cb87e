// Command second runs the script cases of the second review. Each case starts gateways as separate processes before the stand-ins of the
// platform, and checks one rule by what callers, servers and the platform see.
package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases are the script cases by name. Each returns whether the rule held.
var cases = map[string]func(*world) (bool, error){
	"truncated-upload": truncatedUpload,
	"repeated-failure": repeatedFailure,
	"two-holders":      twoHolders,
}

func main() {
	os.Exit(run(os.Args[1:]))
}

// run runs the case with the name in the first argument, and writes its record into the folder in the second.
func run(arguments []string) int {
	if len(arguments) != 2 || cases[arguments[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: second CASE FOLDER")
		return exitNotRun
	}
	w, err := newWorld(arguments[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer w.close()
	held, err := cases[arguments[0]](w)
	switch {
	case err != nil:
		w.note("the case could not run: %v", err)
		return exitNotRun
	case !held:
		w.note("the rule was broken")
		return exitBroken
	default:
		w.note("the rule held")
		return exitHeld
	}
}
