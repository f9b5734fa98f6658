// Package usheroperation holds the subcommands that create keys, inspect running processes and send requests to gateways
// as a caller.
//
// # Usage
//
//	var line struct {
//		JSON bool
//		usheroperation.Commands `embed:""`
//	}
//	parsed, err := kong.Must(&line).Parse(os.Args[1:])
//	if err == nil {
//		err = parsed.Run(usheroperation.Format{JSON: line.JSON})
//	}
//	os.Exit(usheroperation.ExitCode(err))
package usheroperation

import (
	"context"
	"os/signal"
	"syscall"
)

type (
	// Format is the output format of the commands. It must be bound to the kong context when a command runs.
	Format struct {
		// JSON selects JSON instead of text.
		JSON bool
	}

	// Commands are the commands of this package, for embedding into a command line.
	Commands struct {
		Keys    keysCommand    `cmd:"" help:"Make the keys and the secret of a fleet."`
		Dump    dumpCommand    `cmd:"" help:"Print the state of a process."`
		Metrics metricsCommand `cmd:"" help:"Print the metrics of a process."`
		Explain explainCommand `cmd:"" help:"Tell where a request would go now, and why, without sending it."`
		Locate  locateCommand  `cmd:"" help:"Ask a gateway which gateways to use, the best first."`
		Send    sendCommand    `cmd:"" help:"Send a request and print its answer as it comes."`
		Resume  resumeCommand  `cmd:"" help:"Take up a stream that broke off, at any gateway."`
		Status  statusCommand  `cmd:"" help:"Ask a gateway how a request ended."`
		Cancel  cancelCommand  `cmd:"" help:"End a request in progress."`
	}
)

// signalContext returns a context that is cancelled by SIGINT or SIGTERM.
func signalContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
}
