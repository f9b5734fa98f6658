// Command usher-scheduler is the daemon that grants requests to targets.
package main

import (
	"os"

	"github.com/samphireusher/samphireusher/service/usherdaemon"
)

func main() {
	os.Exit(usherdaemon.Main("usher-scheduler", usherdaemon.RunScheduler))
}
