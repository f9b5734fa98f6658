// Package usherctlcommand holds the subcommands of usherctl.
//
// A subcommand is a struct with kong's tags and a method Run(Output) error, and a field of commands. It prints its result
// through Output, as text or JSON, and returns ErrFaults after printing the faults that it found.
//
// # Usage
//
//	os.Exit(usherctlcommand.Run(os.Args[1:], os.Stdout, os.Stderr))
package usherctlcommand

import (
	"encoding/json"
	"fmt"
	"io"

	"github.com/alecthomas/kong"
	"github.com/joomcode/errorx"

	usheroperation "github.com/samphireusher/samphireusher/cmd/usherctl/operate"
)

// Exit codes of usherctl.
const (
	ExitOK      = 0
	ExitFailure = 1
	ExitUsage   = 2
)

var (
	errorNamespace = errorx.NewNamespace("usherctl")

	// ErrFaults is returned by a command that has printed the faults of a declaration.
	ErrFaults = errorNamespace.NewType("faults")
	// ErrFile is returned if a file cannot be written or read.
	ErrFile = errorNamespace.NewType("file")
)

type (
	// commands is the command line: the global flags and the subcommands.
	commands struct {
		JSON   bool          `help:"Print JSON instead of text."`
		Check  checkCommand  `cmd:"" help:"Report every fault of a declaration with its place."`
		Render renderCommand `cmd:"" help:"Write the values that a declaration is published as."`

		usheroperation.Commands `embed:""`
	}

	// Output prints the result of a command as text or JSON.
	Output struct {
		writer io.Writer
		json   bool
	}

	// result is the printable result of a command.
	result interface {
		writeText(w io.Writer)
	}
)

// Run parses the arguments, runs the command and returns the exit code.
func Run(arguments []string, stdout, stderr io.Writer) int {
	var c commands
	helpShown := false
	parser, err := kong.New(&c, kong.Name("usherctl"), kong.Description("Checks and renders declarations, creates keys, inspects processes and sends requests."),
		kong.Writers(stdout, stderr), kong.Exit(func(int) { helpShown = true }))
	if err != nil {
		fmt.Fprintf(stderr, "usherctl: %s\n", err)
		return ExitUsage
	}
	context, err := parser.Parse(arguments)
	if helpShown {
		return ExitOK
	}
	if err != nil {
		fmt.Fprintf(stderr, "usherctl: %s\n", err)
		return ExitUsage
	}
	if err := context.Run(Output{writer: stdout, json: c.JSON}, usheroperation.Format{JSON: c.JSON}); err != nil {
		if !errorx.IsOfType(err, ErrFaults) {
			fmt.Fprintf(stderr, "usherctl: %s\n", err)
		}
		return usheroperation.ExitCode(err)
	}
	return ExitOK
}

// Print prints a result as text, or with --json as one JSON value.
func (o Output) Print(r result) error {
	if !o.json {
		r.writeText(o.writer)
		return nil
	}
	encoder := json.NewEncoder(o.writer)
	encoder.SetIndent("", "  ")
	return encoder.Encode(r)
}
