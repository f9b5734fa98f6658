// Command review-drill plays the cases of the review. It starts usher-host processes as the deploy file does, with stand-ins
// of the consumers, the servers and the platform's store on loopback addresses.
//
// # Usage
//
//	review-drill CASE FOLDER    plays a case and writes FOLDER/record.txt
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With TROUBLE=0 in the environment
// the disruption is left out.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// drill plays one case and reports whether the rule was broken.
type drill func(f *fleet, root string, trouble bool) (broken bool, err error)

var drills = map[string]drill{
	"refused":   playRefused,
	"stop":      playStop,
	"expiry":    playExpiry,
	"early":     playEarly,
	"silent":    playSilent,
	"twice":     playTwice,
	"leave":     playLeave,
	"preempted": playPreempted,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || drills[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-drill CASE FOLDER")
		return exitNotRun
	}
	root, err := os.Getwd()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	rec, err := newRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer rec.close()
	f, err := newFleet(rec)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer f.close()
	broken, err := drills[os.Args[1]](f, root, os.Getenv("TROUBLE") != "0")
	if err != nil {
		rec.add("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	if broken {
		rec.add("result: the rule was broken")
		return exitBroken
	}
	rec.add("result: the rule held")
	return exitHeld
}
