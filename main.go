// Command oleandershelf runs the entries, agents and gateways of a rollout service for reinforcement learning, and contains
// its operators' tools.
package main

import (
	"os"

	"github.com/oleandershelf/oleandershelf/internal/program/cmd"
)

func main() {
	os.Exit(cmd.Run(os.Args))
}
