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
	// manifestName is the file that lists what `usherctl render` wrote.
	manifestName = "manifest.json"
	// maxAnswerBytes bounds the answer of a stand-in.
	maxAnswerBytes = 64 << 20
)

type (
	manifestEntry struct {
		Key  string `json:"key"`
		File string `json:"file"`
	}

	batchBody struct {
		Values []usherplatform.Value `json:"values"`
	}
)

// ReadRendered returns the values that `usherctl render` wrote into a directory, by its manifest.
func ReadRendered(dir string) ([]usherplatform.Value, error) {
	root, err := os.OpenRoot(dir)
	if err != nil {
		return nil, errorx.ExternalError.Wrap(err, "cannot open rendered directory")
	}
	defer root.Close()
	text, err := root.ReadFile(manifestName)
	if err != nil {
		return nil, errorx.ExternalError.Wrap(err, "cannot read manifest")
	}
	var entries []manifestEntry
	if err := json.Unmarshal(text, &entries); err != nil {
		return nil, errorx.IllegalFormat.Wrap(err, "%s is malformed", filepath.Join(dir, manifestName))
	}
	var values []usherplatform.Value
	for _, entry := range entries {
		body, err := root.ReadFile(entry.File)
		if err != nil {
			return nil, errorx.ExternalError.Wrap(err, "cannot read the value of key %q", entry.Key)
		}
		values = append(values, usherplatform.Value{Key: entry.Key, Body: body})
	}
	return values, nil
}

// Publish sends the rendered values of a directory to a platform as one batch and returns its answer.
func Publish(ctx context.Context, client *http.Client, address, dir string) (answer []byte, err error) {
	values, err := ReadRendered(dir)
	if err != nil {
		return nil, err
	}
	body, err := json.Marshal(batchBody{values})
	if err != nil {
		return nil, errorx.InternalError.Wrap(err, "cannot encode the batch")
	}
	return Call(ctx, client, http.MethodPut, address, "/admin/batch", body)
}

// Call sends one request to the stand-in at address and returns its answer; any status but 200 is an error.
func Call(ctx context.Context, client *http.Client, method, address, path string, body []byte) (answer []byte, err error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return nil, errorx.IllegalArgument.Wrap(err, "bad address %q", address)
	}
	response, err := client.Do(request)
	if err != nil {
		return nil, errorx.ExternalError.Wrap(err, "cannot call stand-in")
	}
	defer response.Body.Close()
	answer, err = io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return nil, errorx.ExternalError.Wrap(err, "answer of stand-in broke off")
	}
	if response.StatusCode != http.StatusOK {
		return nil, errorx.ExternalError.New("stand-in answered %s: %s", response.Status, bytes.TrimSpace(answer))
	}
	return answer, nil
}
