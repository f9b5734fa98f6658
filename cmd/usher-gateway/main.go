// Command usher-gateway runs the gateway daemon, which accepts callers' requests and relays the answers of the targets.
package main

import (
	"os"

	"github.com/samphireusher/samphireusher/service/usherdaemon"
)

func main() {
	os.Exit(usherdaemon.Main("usher-gateway", usherdaemon.RunGateway))
}
