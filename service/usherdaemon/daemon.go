// Package usherdaemon assembles the components of a daemon and runs it until a planned stop, that is, a graceful shutdown.
//
// A daemon validates all of its settings, loads its keys, opens its link and waits for a configuration before it serves.
// SIGTERM and SIGINT start a planned stop; SIGHUP reloads the keys.
//
// # Usage
//
//	func main() {
//		os.Exit(usherdaemon.Main("usher-gateway", usherdaemon.RunGateway))
//	}
package usherdaemon

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/rcrowley/go-metrics"

	"github.com/samphireusher/samphireusher/pkg/usherkey"
	"github.com/samphireusher/samphireusher/pkg/usherlink"
	"github.com/samphireusher/samphireusher/pkg/ushersetting"
	"github.com/samphireusher/samphireusher/service/usherfeed"
	"github.com/samphireusher/samphireusher/service/ushergateway"
)

const (
	exitFailure       = 1
	readHeaderTimeout = 10 * time.Second
	// waitLogInterval is the interval at which a starting daemon logs that it is still waiting for a configuration.
	waitLogInterval = 5 * time.Second
)

type (
	// daemon holds what all daemons have in common.
	daemon struct {
		settings *Common
		log      *slog.Logger
		keys     *usherkey.Credentials
		// callerCert is the certificate that a gateway presents to callers; nil for plain HTTP.
		callerCert *usherkey.Certificate
		node       *usherlink.Node
		mux        *usherlink.Mux
		feed       *usherfeed.Feed
		metrics    metrics.Registry
		kept       ushergateway.KeptConns
		wg         sync.WaitGroup
	}

	// component is the gateway or scheduler that a daemon runs.
	component interface {
		Run(ctx context.Context)
		Stop(ctx context.Context) error
		Dump(ctx context.Context) any
	}

	arguments struct {
		Settings string `arg:"" help:"File with the settings, in INI." type:"existingfile"`
		Check    bool   `help:"Only check the settings."`
	}
)

// Main parses the command line, runs the daemon and returns the exit code.
func Main(name string, run func(ctx context.Context, settings string, checkOnly bool) error) int {
	var args arguments
	kong.Parse(&args, kong.Name(name), kong.Description("Runs a samphireusher daemon. SIGTERM starts a planned stop."))
	if err := run(context.Background(), args.Settings, args.Check); err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", name, err)
		return exitFailure
	}
	return 0
}

// open sets up what the component depends on: keys, link and configuration feed.
func open(ctx context.Context, settings *Common, mux *usherlink.Mux) (*daemon, error) {
	d := &daemon{settings: settings, log: settings.logger(), mux: mux, metrics: metrics.NewRegistry()}
	var err error
	if d.keys, err = usherkey.Load(settings.files()); err != nil {
		return nil, err
	}
	if name := d.keys.Name(); name != settings.Process.Name {
		return nil, ushersetting.ErrInvalid.New("process.name is %q, but the certificate in keys.certificate is that of %q", settings.Process.Name, name)
	}
	if d.node, err = usherlink.Listen(settings.Listen.Address.String(), d.keys, usherlink.HandlerFunc(mux.ServeMessage), d.log); err != nil {
		return nil, err
	}
	d.feed = usherfeed.New(usherfeed.Options{
		Address: settings.Listen.Address, DataCentre: settings.Process.DataCentre,
		Platform: usherfeed.NewPlatform(settings.Platform.Address), Link: d.node, Log: d.log,
		Seeds: settings.Platform.Seeds, Seed: newIncarnation(),
	})
	d.feed.Register(mux)
	return d, nil
}

// serve runs c until a planned stop has completed.
func (d *daemon) serve(ctx context.Context, c component, callers http.Handler) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	signals := notifySignals()
	defer signal.Stop(signals)
	d.wg.Go(func() { d.feed.Run(ctx) })
	if stopped, err := d.start(ctx, signals); err != nil || stopped {
		cancel()
		d.wg.Wait()
		return errors.Join(err, d.node.Close())
	}
	servers, err := d.listen(c, callers)
	if err != nil {
		return err
	}
	d.wg.Go(func() { c.Run(ctx) })
	d.log.Info("serving", "address", d.settings.Listen.Address.String(), "admin", d.settings.Listen.Admin.String(), "revision", d.feed.Revision())
	d.awaitSignal(ctx, signals)
	err = d.stop(ctx, c, servers)
	cancel()
	d.wg.Wait()
	return errors.Join(err, d.node.Close())
}

// notifySignals returns a channel that receives the signals handled by a daemon.
func notifySignals() chan os.Signal {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	return signals
}

// start waits for a configuration and reports whether a planned stop was requested first.
func (d *daemon) start(ctx context.Context, signals <-chan os.Signal) (stopped bool, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	started := make(chan error, 1)
	go func() { started <- d.feed.WaitReady(ctx) }()
	waitLog := time.NewTicker(waitLogInterval)
	defer waitLog.Stop()
	for {
		select {
		case err := <-started:
			return false, err
		case <-waitLog.C:
			d.log.Warn("still waiting for a configuration", "platform", d.settings.Platform.Address.String(), "seeds", len(d.settings.Platform.Seeds))
		case s := <-signals:
			if s != syscall.SIGHUP {
				return true, nil
			}
		}
	}
}

// awaitSignal reloads the keys on SIGHUP and returns when a planned stop is requested or ctx is done.
func (d *daemon) awaitSignal(ctx context.Context, signals <-chan os.Signal) {
	for {
		select {
		case <-ctx.Done():
			return
		case s := <-signals:
			if s != syscall.SIGHUP {
				d.log.Info("planned stop begins")
				return
			}
			if err := d.reload(); err != nil {
				d.log.Error("failed to reload keys; keys that could not be loaded are unchanged", "error", err)
				continue
			}
			d.log.Info("keys reloaded")
		}
	}
}

// reload reloads the process's keys and the certificate for callers. If one fails, the other is replaced all the same.
func (d *daemon) reload() error {
	if d.callerCert == nil {
		return d.keys.Reload()
	}
	return errors.Join(d.keys.Reload(), d.callerCert.Reload())
}

// stop waits for requests in progress, at most until the stop timeout, then shuts down the servers.
func (d *daemon) stop(ctx context.Context, c component, servers []*http.Server) error {
	ctx, cancel := context.WithTimeout(ctx, d.settings.Stop.Timeout)
	defer cancel()
	failures := []error{c.Stop(ctx)}
	d.kept.Drain(ctx)
	for _, s := range servers {
		failures = append(failures, s.Shutdown(ctx))
	}
	err := errors.Join(failures...)
	d.log.Info("planned stop ends", "error", err)
	return err
}

func (d *daemon) listen(c component, callers http.Handler) ([]*http.Server, error) {
	servers := []*http.Server{}
	admin, err := d.listenHTTP(d.settings.Listen.Admin.String(), nil, d.adminRoutes(c), nil)
	if err != nil {
		return nil, err
	}
	servers = append(servers, admin)
	if callers == nil {
		return servers, nil
	}
	server, err := d.listenHTTP(d.settings.Listen.Address.String(), d.callerCert, callers, d.kept.Track)
	if err != nil {
		return nil, errors.Join(err, admin.Close())
	}
	return append([]*http.Server{server}, servers...), nil
}

func (d *daemon) listenHTTP(address string, certificate *usherkey.Certificate, handler http.Handler, track func(net.Conn, http.ConnState)) (*http.Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	if certificate != nil {
		listener = tls.NewListener(listener, certificate.TLS())
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout, ConnState: track, ErrorLog: slog.NewLogLogger(d.log.Handler(), slog.LevelError)}
	d.wg.Go(func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			d.log.Error("HTTP server stopped unexpectedly", "address", address, "error", err)
		}
	})
	return server, nil
}
