// Command usher-scheduler runs the scheduler daemon, which assigns the gateways' requests to targets.
package main

import (
	"os"

	"github.com/samphireusher/samphireusher/service/usherdaemon"
)

func main() {
	os.Exit(usherdaemon.Main("usher-scheduler", usherdaemon.RunScheduler))
}
