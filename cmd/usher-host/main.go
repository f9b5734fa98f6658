// Command usher-host is the daemon that runs on every host of the users' platform.
package main

import (
	"os"

	"github.com/samphireusher/samphireusher/cmd/usher-host/daemon"
)

func main() {
	os.Exit(daemon.Main())
}
