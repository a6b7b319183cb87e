// Command oleandershelf is a rollout service for reinforcement learning: entries, agents and the operator's tools.
package main

import (
	"os"

	"github.com/oleandershelf/oleandershelf/internal/program/cmd"
)

func main() {
	os.Exit(cmd.Run(os.Args))
}
