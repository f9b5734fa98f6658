// Package daemon joins the host service with the adapter to the users' platform.
//
// # Usage
//
//	os.Exit(daemon.Main())
package daemon

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/alecthomas/kong"

	"github.com/samphireusher/samphireusher/platform/usheradapter"
	"github.com/samphireusher/samphireusher/service/usherhost"
)

const (
	exitFailure = 1
	// dialTimeout bounds connections to the store and to engines' control interfaces.
	dialTimeout = 500 * time.Millisecond
	// copyTimeout bounds a copy between engines, which waits for others on the same links.
	copyTimeout = 3 * time.Second
	idleTimeout = 5 * time.Second
)

type arguments struct {
	Settings string `arg:"" help:"File with the settings, in INI." type:"existingfile"`
	Check    bool   `help:"Only check the settings."`
}

// Main parses the command line and runs the daemon; it returns the exit code.
func Main() int {
	var args arguments
	kong.Parse(&args, kong.Name("usher-host"), kong.Description("The daemon on every host. SIGTERM is a planned stop."))
	if err := run(args); err != nil {
		fmt.Fprintf(os.Stderr, "usher-host: %v\n", err)
		return exitFailure
	}
	return 0
}

func run(args arguments) error {
	settings, err := usherhost.LoadSettings(args.Settings)
	if err != nil || args.Check {
		return err
	}
	lines := usherhost.NewLogWriter(os.Stdout)
	defer lines.Close()
	host, err := usherhost.New(settings, platform(settings), settings.NewLogger(lines))
	if err != nil {
		return err
	}
	return host.Run(context.Background())
}

func platform(s *usherhost.Settings) usherhost.Platform {
	dial := usherhost.Dialer(dialTimeout).DialContext
	return usherhost.Platform{
		Store:   usheradapter.NewStore(s.Store.Address.String(), client(dial, 0, false)),
		Engines: usheradapter.NewEngines(client(dial, copyTimeout, true)),
		Codec:   usheradapter.Codec{}, LocatePath: usheradapter.LocatePath, ReadyPath: usheradapter.ReadyPath,
	}
}

func client(dial func(ctx context.Context, network, address string) (net.Conn, error), timeout time.Duration, once bool) *http.Client {
	return &http.Client{
		Timeout:   timeout,
		Transport: &http.Transport{DialContext: dial, DisableKeepAlives: once, MaxIdleConnsPerHost: 1, IdleConnTimeout: idleTimeout},
	}
}
