// Package daemon implements the usher-host command. It connects the host service to the users' platform through the
// platform adapter.
//
// # Usage
//
//	os.Exit(daemon.Main())
package daemon

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"github.com/samphireusher/samphireusher/pkg/usherconn"
	"github.com/samphireusher/samphireusher/pkg/usherresponse"
	"github.com/samphireusher/samphireusher/platform/usheradapter"
	"github.com/samphireusher/samphireusher/service/usherhost"
)

const (
	exitFailure  = 1
	signalBuffer = 4
	idleTimeout  = 5 * time.Second
	// maxHeaderBytes limits the response header of the store and of an engine's control interface.
	maxHeaderBytes = 64 << 10
)

type arguments struct {
	Settings string `arg:"" help:"File with the settings, in INI." type:"existingfile"`
	Check    bool   `help:"Only check the settings."`
}

// Main parses the command line, runs the daemon and returns the exit code.
func Main() int {
	// SIGHUP would end a process that is still starting.
	signals := make(chan os.Signal, signalBuffer)
	signal.Notify(signals, syscall.SIGHUP)
	defer signal.Stop(signals)
	var args arguments
	kong.Parse(&args, kong.Name("usher-host"), kong.Description("The daemon on every host. SIGTERM is a planned stop."))
	if err := run(args, signals); err != nil {
		fmt.Fprintf(os.Stderr, "usher-host: %v\n", err)
		return exitFailure
	}
	return 0
}

func run(args arguments, signals chan os.Signal) error {
	settings, err := usherhost.LoadSettings(args.Settings)
	if err != nil || args.Check {
		return err
	}
	logWriter := usherhost.NewLogWriter(os.Stdout)
	defer logWriter.Close()
	platform := Platform(settings, usherhost.OSNetwork{})
	platform.Uptime = usherhost.Uptime
	platform.Settings = func() ([]byte, error) { return os.ReadFile(args.Settings) }
	host, err := usherhost.New(settings, platform, settings.NewLogger(logWriter))
	if err != nil {
		return err
	}
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	return host.Run(context.Background(), signals)
}

// Platform returns the interfaces of the users' platform that a host uses, with connections through network.
func Platform(s *usherhost.Settings, network usherhost.Network) usherhost.Platform {
	return usherhost.Platform{
		Network: network,
		Store:   usheradapter.NewStore(s.Store.Address.String(), client(network, false)),
		Engines: usheradapter.NewEngineClient(client(network, true)),
		Codec:   usheradapter.Codec{}, LocatePath: usheradapter.LocatePath, ReadyPath: usheradapter.ReadyPath,
	}
}

func client(network usherhost.Network, disableKeepAlives bool) *http.Client {
	return &http.Client{
		Transport: usherresponse.Transport{Base: &http.Transport{
			DialContext: usherconn.Dialer(network.Dial), DisableKeepAlives: disableKeepAlives, MaxIdleConnsPerHost: 1, IdleConnTimeout: idleTimeout, MaxResponseHeaderBytes: maxHeaderBytes,
		}},
	}
}
