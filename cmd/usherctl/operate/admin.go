package usheroperation

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/alecthomas/kong"
)

const (
	inspectTimeout = 10 * time.Second
	maxDumpBytes   = 64 << 20
)

type (
	dumpCommand struct {
		adminQuery
	}

	metricsCommand struct {
		adminQuery
	}

	// adminQuery is a GET request to the admin address of a process.
	adminQuery struct {
		Address string `arg:"" help:"Admin address of the process: listen.admin of its settings."`
	}
)

// Run prints the state of a process.
func (c *dumpCommand) Run(k *kong.Context, format Format) error {
	return c.print(k, format, "/dump")
}

// Run prints the metrics of a process.
func (c *metricsCommand) Run(k *kong.Context, format Format) error {
	return c.print(k, format, "/metrics")
}

func (c *adminQuery) print(k *kong.Context, format Format, path string) error {
	ctx, stop := signalContext()
	defer stop()
	body, err := c.get(ctx, path)
	if err != nil {
		return err
	}
	if format.JSON {
		_, err := k.Stdout.Write(body)
		return err
	}
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.UseNumber()
	var value any
	if err := decoder.Decode(&value); err != nil {
		return ErrProcess.Wrap(err, "%s%s did not return valid JSON", c.Address, path)
	}
	printFields(k.Stdout, "", value)
	return nil
}

func (c *adminQuery) get(ctx context.Context, path string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, inspectTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.Address+path, nil)
	if err != nil {
		return nil, ErrUsage.Wrap(err, "invalid address %q", c.Address)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, ErrProcess.Wrap(err, "cannot reach the admin address")
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxDumpBytes))
	if err != nil {
		return nil, ErrProcess.Wrap(err, "cannot read the response")
	}
	if response.StatusCode != http.StatusOK {
		return nil, ErrProcess.New("%s%s: %s; is this the process's admin address?", c.Address, path, response.Status)
	}
	return body, nil
}

// printFields prints one line for each leaf of a JSON value, with the fields of an object in the order of their names.
func printFields(out io.Writer, path string, value any) {
	switch value := value.(type) {
	case map[string]any:
		for _, name := range slices.Sorted(maps.Keys(value)) {
			printFields(out, joinPath(path, name), value[name])
		}
	case []any:
		for i, item := range value {
			printFields(out, fmt.Sprintf("%s[%d]", path, i), item)
		}
	default:
		fmt.Fprintf(out, "%s = %v\n", path, value)
	}
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
