// Command usher-standin serves stand-ins, that is simulated implementations, of the platform and the targets for the demo
// and the tests, and controls running stand-ins.
//
// # Usage
//
//	usher-standin all --config standins.ini
//	usher-standin engine --address 127.0.0.1:7001 --cold
//	usher-standin publish rendered --platform 127.0.0.1:7000
//	usher-standin faults 127.0.0.1:7001 '{"die":true}'
package main

import (
	"context"
	"log/slog"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"github.com/samphireusher/samphireusher/standin/usherserver"
)

// callTimeout is the timeout of an HTTP request to a running stand-in.
const callTimeout = 10 * time.Second

type (
	commandLine struct {
		Platform platformCommand `cmd:"" help:"Serve the configuration service and the host list."`
		Engine   engineCommand   `cmd:"" help:"Serve a model engine."`
		Plain    plainCommand    `cmd:"" help:"Serve a plain service."`
		Weights  weightsCommand  `cmd:"" help:"Serve the weight store."`
		All      allCommand      `cmd:"" help:"Serve many stand-ins in one process."`
		Publish  publishCommand  `cmd:"" help:"Send rendered values to a platform as one batch."`
		Hosts    hostsCommand    `cmd:"" help:"Send a host list to a platform."`
		Faults   faultsCommand   `cmd:"" help:"Switch faults of a stand-in."`
		Record   recordCommand   `cmd:"" help:"Print what a stand-in saw."`
	}

	platformCommand struct{ usherserver.PlatformSettings }
	engineCommand   struct{ usherserver.EngineSettings }
	plainCommand    struct{ usherserver.PlainSettings }
	weightsCommand  struct{ usherserver.WeightsSettings }

	allCommand struct {
		Config string `help:"INI file with a section for each stand-in." required:"" type:"existingfile"`
	}

	publishCommand struct {
		Dir      string `arg:"" help:"Directory that usherctl render wrote." type:"existingdir"`
		Platform string `help:"Address of the platform." required:""`
	}

	hostsCommand struct {
		File     string `arg:"" help:"JSON file with the hosts." type:"existingfile"`
		Platform string `help:"Address of the platform." required:""`
	}

	faultsCommand struct {
		Address  string `arg:"" help:"Address of the stand-in."`
		Switches string `arg:"" help:"JSON object of switches."`
	}

	recordCommand struct {
		Address string `arg:"" help:"Address of the stand-in."`
	}
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	var line commandLine
	parsed := kong.Parse(&line,
		kong.Name("usher-standin"),
		kong.Description("Stand-ins of the platform and of the targets, for the demo and the tests."),
		kong.BindTo(ctx, (*context.Context)(nil)),
	)
	if err := parsed.Run(); err != nil {
		newLogger().Error("command failed", "error", err.Error())
		os.Exit(1)
	}
}

func newLogger() *slog.Logger {
	return slog.New(slog.NewJSONHandler(os.Stdout, nil))
}

// Run serves the configuration service and the host list until the context is cancelled.
func (c *platformCommand) Run(ctx context.Context) error {
	return serve(ctx, usherserver.KindPlatform, &c.PlatformSettings)
}

// Run serves a model engine until the context is cancelled.
func (c *engineCommand) Run(ctx context.Context) error {
	return serve(ctx, usherserver.KindEngine, &c.EngineSettings)
}

// Run serves a plain service until the context is cancelled.
func (c *plainCommand) Run(ctx context.Context) error {
	return serve(ctx, usherserver.KindPlain, &c.PlainSettings)
}

// Run serves the weight store until the context is cancelled.
func (c *weightsCommand) Run(ctx context.Context) error {
	return serve(ctx, usherserver.KindWeights, &c.WeightsSettings)
}

func serve(ctx context.Context, kind string, settings usherserver.Settings) error {
	return usherserver.Serve(ctx, newLogger(), usherserver.Standin{Kind: kind, Name: kind, Settings: settings})
}

// Run serves all stand-ins of the INI file until the context is cancelled.
func (c *allCommand) Run(ctx context.Context) error {
	standins, err := usherserver.ReadSettings(c.Config)
	if err != nil {
		return err
	}
	return usherserver.Serve(ctx, newLogger(), standins...)
}

// Run publishes the rendered values of the directory to the platform.
func (c *publishCommand) Run(ctx context.Context) error {
	return printResponse(usherserver.Publish(ctx, client(), c.Platform, c.Dir))
}

// Run replaces the platform's host list by that of the file.
func (c *hostsCommand) Run(ctx context.Context) error {
	body, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	return printResponse(usherserver.Call(ctx, client(), http.MethodPut, c.Platform, "/admin/hosts", body))
}

// Run sets the fault switches of a stand-in.
func (c *faultsCommand) Run(ctx context.Context) error {
	return printResponse(usherserver.Call(ctx, client(), http.MethodPost, c.Address, "/faults", []byte(c.Switches)))
}

// Run prints what a stand-in has recorded.
func (c *recordCommand) Run(ctx context.Context) error {
	return printResponse(usherserver.Call(ctx, client(), http.MethodGet, c.Address, "/record", nil))
}

func client() *http.Client {
	return &http.Client{Timeout: callTimeout}
}

func printResponse(response []byte, err error) error {
	if err != nil {
		return err
	}
	_, err = os.Stdout.Write(response)
	return err
}
