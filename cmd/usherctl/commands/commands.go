// Package usherctlcommand holds the subcommands of usherctl.
//
// A subcommand is a struct with kong's tags and a method Run(Output) error; it becomes part of the program by a line in
// commands. It prints through Output, as text or JSON, and returns ErrFaults if it found faults that it has printed.
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
	ExitOK     = 0
	ExitFaults = 1
	ExitUsage  = 2
)

var (
	errorNamespace = errorx.NewNamespace("usherctl")

	// ErrFaults means that a command has printed faults.
	ErrFaults = errorNamespace.NewType("faults")
	// ErrFile means that a file could not be written or read.
	ErrFile = errorNamespace.NewType("file")
)

type (
	// commands are the subcommands and the flags that all of them have.
	commands struct {
		JSON   bool          `help:"Print JSON instead of text."`
		Check  checkCommand  `cmd:"" help:"Report every fault of a declaration with its place."`
		Render renderCommand `cmd:"" help:"Write the values that a declaration is published as."`

		usheroperation.Commands `embed:""`
	}

	// Output prints the result of a command.
	Output struct {
		writer io.Writer
		json   bool
	}

	// result is what a command prints.
	result interface {
		writeText(w io.Writer)
	}
)

// Run runs usherctl and returns its exit code.
func Run(arguments []string, stdout, stderr io.Writer) int {
	var c commands
	helped := false
	parser, err := kong.New(&c, kong.Name("usherctl"), kong.Description("Checks and renders what operators declare."),
		kong.Writers(stdout, stderr), kong.Exit(func(int) { helped = true }))
	if err != nil {
		fmt.Fprintf(stderr, "usherctl: %s\n", err)
		return ExitUsage
	}
	context, err := parser.Parse(arguments)
	if helped {
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

// Print prints a result as text, or as one JSON value if the command line says so.
func (o Output) Print(r result) error {
	if !o.json {
		r.writeText(o.writer)
		return nil
	}
	encoder := json.NewEncoder(o.writer)
	encoder.SetIndent("", "  ")
	return encoder.Encode(r)
}
