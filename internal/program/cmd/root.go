// Package cmd holds the subcommands of oleandershelf, one file each.
package cmd

// Run runs the command line and returns the exit code.
func Run(args []string) int {
	_ = args
	return 0
}
