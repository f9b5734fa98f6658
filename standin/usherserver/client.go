package usherserver

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"path/filepath"

	"github.com/joomcode/errorx"

	"github.com/samphireusher/samphireusher/standin/usherplatform"
)

const (
	// manifestFile is the name of the file in which `usherctl render` lists the files that it wrote.
	manifestFile = "manifest.json"
	// maxResponseBytes is the maximum size of a response that is read.
	maxResponseBytes = 64 << 20
)

type (
	manifestEntry struct {
		Key  string `json:"key"`
		File string `json:"file"`
	}

	batchRequest struct {
		Values []usherplatform.Value `json:"values"`
	}
)

// ReadRendered reads the values that `usherctl render` wrote into a directory, as listed in its manifest.
func ReadRendered(dir string) ([]usherplatform.Value, error) {
	root, err := os.OpenRoot(dir)
	if err != nil {
		return nil, errorx.ExternalError.Wrap(err, "cannot open rendered directory")
	}
	defer root.Close()
	text, err := root.ReadFile(manifestFile)
	if err != nil {
		return nil, errorx.ExternalError.Wrap(err, "cannot read manifest")
	}
	var entries []manifestEntry
	if err := json.Unmarshal(text, &entries); err != nil {
		return nil, errorx.IllegalFormat.Wrap(err, "%s is malformed", filepath.Join(dir, manifestFile))
	}
	var values []usherplatform.Value
	for _, entry := range entries {
		body, err := root.ReadFile(entry.File)
		if err != nil {
			return nil, errorx.ExternalError.Wrap(err, "cannot read value of key %q", entry.Key)
		}
		values = append(values, usherplatform.Value{Key: entry.Key, Body: body})
	}
	return values, nil
}

// Publish sends the rendered values of a directory to a platform as one batch and returns the response body.
func Publish(ctx context.Context, client *http.Client, address, dir string) (responseBody []byte, err error) {
	values, err := ReadRendered(dir)
	if err != nil {
		return nil, err
	}
	body, err := json.Marshal(batchRequest{values})
	if err != nil {
		return nil, errorx.InternalError.Wrap(err, "cannot encode batch")
	}
	return Call(ctx, client, http.MethodPut, address, "/admin/batch", body)
}

// Call sends a request to the stand-in at address and returns the response body. Any status other than 200 is an error.
func Call(ctx context.Context, client *http.Client, method, address, path string, body []byte) (responseBody []byte, err error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return nil, errorx.IllegalArgument.Wrap(err, "invalid address %q", address)
	}
	response, err := client.Do(request)
	if err != nil {
		return nil, errorx.ExternalError.Wrap(err, "cannot send request to stand-in")
	}
	defer response.Body.Close()
	responseBody, err = io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return nil, errorx.ExternalError.Wrap(err, "cannot read response of stand-in")
	}
	if response.StatusCode != http.StatusOK {
		return nil, errorx.ExternalError.New("stand-in responded with status %s: %s", response.Status, bytes.TrimSpace(responseBody))
	}
	return responseBody, nil
}
