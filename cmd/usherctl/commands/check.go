package usherctlcommand

import (
	"fmt"
	"io"
	"os"

	"github.com/samphireusher/samphireusher/pkg/usherconfig"
)

type (
	// checkCommand validates a declaration and reports its faults.
	checkCommand struct {
		Directory string `arg:"" name:"dir" type:"existingdir" help:"Directory of the declaration's INI files."`
	}

	// checkResult is the output of check.
	checkResult struct {
		Revision    uint64              `json:"revision"`
		Services    int                 `json:"services"`
		Targets     int                 `json:"targets"`
		DataCentres int                 `json:"data_centres"`
		Hosts       int                 `json:"hosts"`
		Templates   int                 `json:"templates"`
		Workspaces  int                 `json:"workspaces"`
		Faults      []usherconfig.Fault `json:"faults"`
	}
)

func (c checkCommand) Run(output Output) error {
	_, err := parse(c.Directory, output, true)
	return err
}

// parse reads a declaration and prints its faults. With verbose it prints the result even if there are no faults.
func parse(directory string, output Output, verbose bool) (usherconfig.Snapshot, error) {
	snapshot, faults := usherconfig.Parse(os.DirFS(directory))
	if len(faults) == 0 && !verbose {
		return snapshot, nil
	}
	if err := output.Print(newCheckResult(snapshot, faults)); err != nil {
		return snapshot, err
	}
	if len(faults) > 0 {
		return snapshot, ErrInvalidDeclaration.New("%d faults", len(faults))
	}
	return snapshot, nil
}

func newCheckResult(s usherconfig.Snapshot, faults []usherconfig.Fault) checkResult {
	return checkResult{
		Revision: s.Revision, Services: len(s.Services), Targets: len(s.Targets), DataCentres: len(s.DataCentres),
		Hosts: len(s.Hosts), Templates: len(s.Templates), Workspaces: len(s.Workspaces),
		Faults: append([]usherconfig.Fault{}, faults...),
	}
}

func (r checkResult) writeText(w io.Writer) {
	for _, fault := range r.Faults {
		fmt.Fprintln(w, fault)
	}
	if len(r.Faults) > 0 {
		fmt.Fprintf(w, "%d faults\n", len(r.Faults))
		return
	}
	fmt.Fprintf(w, "ok: revision %d, %d services, %d targets, %d data centres, %d hosts, %d templates, %d workspaces\n",
		r.Revision, r.Services, r.Targets, r.DataCentres, r.Hosts, r.Templates, r.Workspaces)
}
