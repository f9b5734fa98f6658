package usherctlcommand

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"github.com/samphireusher/samphireusher/pkg/usherconfig"
)

const (
	// manifestName is the name of the file that lists the values of a revision in publication order.
	manifestName = "manifest.json"

	directoryMode = 0o755
	fileMode      = 0o644
)

type (
	// renderCommand writes the values that a declaration is published as, one file per value.
	renderCommand struct {
		Directory string `arg:"" name:"dir" type:"existingdir" help:"Directory of the declaration's INI files."`
		Out       string `required:"" placeholder:"DIR" help:"Directory for the values; each key is a path in it."`
	}

	// renderResult is the output of render.
	renderResult struct {
		Revision uint64        `json:"revision"`
		Values   []renderValue `json:"values"` // in publication order
	}

	// manifestEntry is the key of a value and the file that holds it.
	manifestEntry struct {
		Key  string `json:"key"`
		File string `json:"file"`
	}

	// renderValue describes a rendered value.
	renderValue struct {
		Key    string `json:"key"`
		Bytes  int    `json:"bytes"`
		Digest string `json:"digest"`
		New    bool   `json:"new"` // the directory did not hold this value before
	}
)

// Run writes the values and the manifest. If the declaration has faults, it prints these and writes nothing.
func (c renderCommand) Run(output Output) error {
	snapshot, err := parse(c.Directory, output, false)
	if err != nil {
		return err
	}
	rendered := renderResult{Revision: snapshot.Revision}
	for _, value := range usherconfig.Render(snapshot) {
		written, err := c.write(value)
		if err != nil {
			return err
		}
		digest := usherconfig.DigestOf(value.Data).String()
		rendered.Values = append(rendered.Values, renderValue{
			Key: value.Key, Bytes: len(value.Data), Digest: digest, New: written,
		})
	}
	if err := c.writeManifest(rendered); err != nil {
		return err
	}
	return output.Print(rendered)
}

// writeManifest writes the manifest for the pipeline that publishes the values.
func (c renderCommand) writeManifest(rendered renderResult) error {
	entries := []manifestEntry{}
	for _, value := range rendered.Values {
		entries = append(entries, manifestEntry{Key: value.Key, File: value.Key})
	}
	data, err := json.MarshalIndent(entries, "", "  ")
	if err != nil {
		return ErrFile.Wrap(err, "cannot encode the manifest")
	}
	if err := os.WriteFile(filepath.Join(c.Out, manifestName), append(data, '\n'), fileMode); err != nil {
		return ErrFile.Wrap(err, "cannot write the manifest")
	}
	return nil
}

// write writes a value to its file, unless the file already holds it, and reports whether it wrote.
func (c renderCommand) write(value usherconfig.Value) (bool, error) {
	path := filepath.Join(c.Out, filepath.FromSlash(value.Key))
	if old, err := os.ReadFile(path); err == nil && string(old) == string(value.Data) {
		return false, nil
	}
	if err := os.MkdirAll(filepath.Dir(path), directoryMode); err != nil {
		return false, ErrFile.Wrap(err, "cannot create the directory of %s", value.Key)
	}
	if err := os.WriteFile(path, value.Data, fileMode); err != nil {
		return false, ErrFile.Wrap(err, "cannot write %s", value.Key)
	}
	return true, nil
}

func (r renderResult) writeText(w io.Writer) {
	for _, value := range r.Values {
		mark := " "
		if value.New {
			mark = "+"
		}
		fmt.Fprintf(w, "%s %s %d bytes\n", mark, value.Key, value.Bytes)
	}
	fmt.Fprintf(w, "ok: revision %d, %d values\n", r.Revision, len(r.Values))
}
