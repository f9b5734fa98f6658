// Command usher-review2 runs a case of the second review: it starts the hosts as processes, with stand-ins for the platform, the replicas
// and the consumers, and checks one rule.
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With TROUBLE=0 the disruption is left out.
//
// # Usage
//
//	usher-review2 CASE RECORD
package main

import (
	"fmt"
	"os"
)

// cases maps the names of the cases to their functions, which report whether the rule was broken.
var cases = map[string]func(record string, trouble bool) (broken bool, err error){
	"lost-answer": lostAnswer, "crashing-request": crashingRequest, "odd-entry": oddEntry, "last-tenant": lastTenant, "large-bodies": largeBodies,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: usher-review2 CASE RECORD")
		os.Exit(2)
	}
	broken, err := cases[os.Args[1]](os.Args[2], os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		os.Exit(2)
	case broken:
		os.Exit(1)
	}
}
