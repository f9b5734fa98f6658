// Command usherctl is the operators' command-line tool.
//
// # Usage
//
//	usherctl check DIR
//	usherctl render DIR --out DIR
//
// The exit code is 0 on success, 1 on failure or if a declaration has faults, and 2 for an invalid command line. The
// commands that send requests have further exit codes, see package usheroperation.
package main

import (
	"os"

	usherctlcommand "github.com/samphireusher/samphireusher/cmd/usherctl/commands"
)

func main() {
	os.Exit(usherctlcommand.Run(os.Args[1:], os.Stdout, os.Stderr))
}
