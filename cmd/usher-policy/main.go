// Command usher-policy simulates the scheduler's policy in virtual time and prints one JSON line for each scenario
// and policy.
package main

import (
	"log/slog"
	"os"

	"github.com/alecthomas/kong"

	usherexperiment "github.com/samphireusher/samphireusher/cmd/usher-policy/experiment"
)

func main() {
	var command usherexperiment.Command
	kong.Parse(&command, kong.Description("Measures the scheduler's policy against engine models in virtual time."))
	if err := command.Run(os.Stdout); err != nil {
		slog.New(slog.NewJSONHandler(os.Stderr, nil)).Error("simulation failed", "error", err)
		os.Exit(1)
	}
}
