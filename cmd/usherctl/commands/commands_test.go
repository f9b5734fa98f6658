package usherctlcommand_test

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	usherctlcommand "github.com/samphireusher/samphireusher/cmd/usherctl/commands"
	"github.com/samphireusher/samphireusher/pkg/usherconfig"
)

const declarations = "../../../_fixtures/declarations/"

func TestRun(t *testing.T) {
	out := t.TempDir()
	file := filepath.Join(out, "file")
	if err := os.WriteFile(file, nil, 0o644); err != nil {
		t.Fatal(err)
	}
	tests := []struct {
		name           string
		arguments      []string
		code           int
		stdout, stderr string
	}{
		{"good", []string{"check", declarations + "consortium"}, 0, "ok: revision 1, 2 services, 15 targets, 3 data centres, 9 hosts, 5 templates, 10 workspaces\n", ""},
		{"faults", []string{"check", declarations + "broken"}, 1, "templates.ini:7: [template appraisal] priority: must be 0 to 9", ""},
		{"faults as JSON", []string{"--json", "check", declarations + "broken"}, 1, `"rule": "must be 0 to 9"`, ""},
		{"good as JSON", []string{"check", declarations + "foundation", "--json"}, 0, `"faults": []`, ""},
		{"rendered", []string{"render", declarations + "foundation", "--out", out}, 0, "+ usher/index ", ""},
		{"rendered again", []string{"render", declarations + "foundation", "--out", out}, 0, "  usher/index ", ""},
		{"faults are not rendered", []string{"render", declarations + "broken", "--out", filepath.Join(out, "none")}, 1, "faults", ""},
		{"cannot write", []string{"render", declarations + "foundation", "--out", file}, 1, "", "cannot create the directory"},
		{"no directory", []string{"check", "nowhere"}, 2, "", "nowhere"},
		{"no argument", []string{"check"}, 2, "", "expected"},
		{"no command", nil, 2, "", "expected"},
		{"unknown command", []string{"erase"}, 2, "", "erase"},
		{"unknown flag", []string{"check", declarations, "--fix"}, 2, "", "--fix"},
		{"no output", []string{"render", declarations + "foundation"}, 2, "", "--out"},
		{"help", []string{"--help"}, 0, "Usage: usherctl", ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var stdout, stderr bytes.Buffer
			code := usherctlcommand.Run(test.arguments, &stdout, &stderr)
			if code != test.code {
				t.Errorf("code %d, want %d", code, test.code)
			}
			if !strings.Contains(stdout.String(), test.stdout) || !strings.Contains(stderr.String(), test.stderr) {
				t.Errorf("printed %q and %q, want %q and %q", &stdout, &stderr, test.stdout, test.stderr)
			}
		})
	}
	if _, err := os.Stat(filepath.Join(out, "none")); err == nil {
		t.Error("a declaration with faults was rendered")
	}
}

func TestRenderedFilesAssemble(t *testing.T) {
	out := t.TempDir()
	var stdout, stderr bytes.Buffer
	code := usherctlcommand.Run([]string{"render", declarations + "consortium", "--out", out, "--json"}, &stdout, &stderr)
	if code != usherctlcommand.ExitOK {
		t.Fatalf("code %d: %s", code, &stderr)
	}
	var result struct {
		Values []struct{ Key string }
	}
	if err := json.Unmarshal(stdout.Bytes(), &result); err != nil {
		t.Fatal(err)
	}
	shards := map[usherconfig.Digest][]byte{}
	var last []byte
	for _, value := range result.Values {
		data, err := os.ReadFile(filepath.Join(out, value.Key))
		if err != nil {
			t.Fatal(err)
		}
		shards[usherconfig.DigestOf(data)], last = data, data
	}
	view, err := usherconfig.Assemble(last, shards)
	if err != nil || view.WorkspaceCount() != 10 {
		t.Errorf("%d workspaces, error %v", view.WorkspaceCount(), err)
	}
}
