// Command usherctl is the operators' command line.
//
// # Usage
//
//	usherctl check DIR
//	usherctl render DIR --out DIR
//
// It exits with 0 if all went well, 1 if there were faults and 2 if it was called wrongly.
package main

import (
	"os"

	usherctlcommand "github.com/samphireusher/samphireusher/cmd/usherctl/commands"
)

func main() {
	os.Exit(usherctlcommand.Run(os.Args[1:], os.Stdout, os.Stderr))
}
