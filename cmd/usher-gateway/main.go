// Command usher-gateway is the daemon that callers connect to.
package main

import (
	"os"

	"github.com/samphireusher/samphireusher/service/usherdaemon"
)

func main() {
	os.Exit(usherdaemon.Main("usher-gateway", usherdaemon.RunGateway))
}
