package usheroperation

import (
	"crypto/tls"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/alecthomas/kong"

	"github.com/samphireusher/samphireusher/pkg/usherkey"
	"github.com/samphireusher/samphireusher/service/usherclient"
)

type (
	// credentials are the flags that authenticate a workspace to a gateway.
	credentials struct {
		Workspace   string `help:"Workspace to speak for." env:"USHER_WORKSPACE" required:""`
		Key         string `help:"Key of the workspace. Other users of the host may see it here: prefer the environment." env:"USHER_KEY"`
		KeyFile     string `help:"File with the key of the workspace; goes before the key." env:"USHER_KEY_FILE" type:"path"`
		Authorities string `help:"File with the authorities of the gateways' certificates; TLS is spoken if it is given." env:"USHER_AUTHORITIES" type:"path"`
	}

	locateCommand struct {
		credentials
		Address string   `arg:"" help:"Address of any gateway."`
		Near    []string `help:"Data centres near the caller, the nearest first."`
	}

	statusCommand struct {
		credentials
		Address   string `arg:"" help:"Address of the gateway that the request was sent to."`
		RequestID string `arg:"" help:"Id of the request."`
	}

	cancelCommand struct {
		credentials
		Address   string `arg:"" help:"Address of the gateway that the request was sent to."`
		RequestID string `arg:"" help:"Id of the request."`
	}
)

func (c *credentials) client() (*usherclient.Client, error) {
	key := c.Key
	if c.KeyFile != "" {
		data, err := os.ReadFile(c.KeyFile)
		if err != nil {
			return nil, ErrFile.Wrap(err, "cannot read the workspace key")
		}
		key = strings.TrimSpace(string(data))
	}
	if key == "" {
		return nil, ErrUsage.New("no workspace key: set USHER_KEY, USHER_KEY_FILE, --key or --key-file")
	}
	client := usherclient.New(c.Workspace, key)
	if c.Authorities == "" {
		return client, nil
	}
	pool, err := usherkey.LoadAuthorities(c.Authorities)
	if err != nil {
		return nil, err
	}
	return client.WithTLS(&tls.Config{MinVersion: tls.VersionTLS13, RootCAs: pool, ServerName: usherkey.FleetName}), nil
}

// Run prints the addresses of the gateways to use, in order of preference.
func (c *locateCommand) Run(k *kong.Context, format Format) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	ctx, stop := signalContext()
	defer stop()
	location, err := client.LocateNear(ctx, c.Address, c.Near)
	if err != nil {
		return err
	}
	if format.JSON {
		return printJSON(k.Stdout, location)
	}
	for _, address := range location.Addresses {
		fmt.Fprintln(k.Stdout, address)
	}
	return nil
}

// Run prints the state or outcome of a request.
func (c *statusCommand) Run(k *kong.Context, format Format) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	ctx, stop := signalContext()
	defer stop()
	status, err := client.Status(ctx, c.Address, c.RequestID)
	if err != nil {
		return err
	}
	if format.JSON {
		return printJSON(k.Stdout, status)
	}
	fmt.Fprintln(k.Stdout, describe(status))
	if answer := status.Text + string(status.Result); answer != "" {
		fmt.Fprintln(k.Stdout, answer)
	}
	return nil
}

func (c *cancelCommand) Run(k *kong.Context, format Format) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	ctx, stop := signalContext()
	defer stop()
	if err := client.Cancel(ctx, c.Address, c.RequestID); err != nil {
		return err
	}
	if format.JSON {
		return printJSON(k.Stdout, usherclient.Status{RequestID: c.RequestID, State: "cancelling"})
	}
	fmt.Fprintln(k.Stdout, "cancelling")
	return nil
}

// describe returns the status of a request in one line: its outcome and reason once it has ended, else its state, as its
// outcome is not known yet.
func describe(status usherclient.Status) string {
	switch {
	case status.State != "ended":
		return status.State
	case status.Reason != "":
		return status.Outcome + ": " + status.Reason
	default:
		return status.Outcome
	}
}

func printJSON(out io.Writer, value any) error {
	return json.NewEncoder(out).Encode(value)
}
