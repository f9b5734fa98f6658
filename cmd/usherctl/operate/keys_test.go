package usheroperation_test

import (
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"testing"

	usheroperation "github.com/samphireusher/samphireusher/cmd/usherctl/operate"
	"github.com/samphireusher/samphireusher/pkg/usherkey"
	"github.com/samphireusher/samphireusher/pkg/usherrequest"
)

func TestKeys(t *testing.T) {
	directory := t.TempDir()
	authority, secret := filepath.Join(directory, "authority"), filepath.Join(directory, "fleet.secret")
	commands := [][]string{
		{"keys", "authority", "--out", authority},
		{"keys", "issue", "kochi-1", "--authority", authority, "--out", directory},
		{"keys", "secret", "--out", secret},
	}
	for _, arguments := range commands {
		wantCode(t, run(t, arguments...), usheroperation.ExitOK)
	}
	before := readFiles(t, directory)
	if len(before) != 5 {
		t.Fatalf("keys created the files %v, want 5", before)
	}

	credentials, err := usherkey.Load(usherkey.Files{
		Certificate: filepath.Join(directory, "kochi-1.pem"), Key: filepath.Join(directory, "kochi-1.key"),
		Authorities: filepath.Join(authority, "authority.pem"),
	})
	if err != nil {
		t.Fatal(err)
	}
	if credentials.Name() != "kochi-1" {
		t.Errorf("certificate issued to %s, want kochi-1", credentials.Name())
	}
	if _, err := usherrequest.NewKeyring([]byte(strings.TrimSpace(before[secret]))); err != nil {
		t.Error(err)
	}

	for _, arguments := range commands {
		wantCode(t, run(t, arguments...), usheroperation.ExitFailure)
	}
	if after := readFiles(t, directory); !sameFiles(before, after) {
		t.Error("a file was overwritten without --force")
	}
	for _, arguments := range commands {
		wantCode(t, run(t, append(arguments, "--force")...), usheroperation.ExitOK)
	}
	for path, text := range readFiles(t, directory) {
		if text == before[path] {
			t.Errorf("%s was not overwritten with --force", path)
		}
	}
}

func TestKeysRejectsInvalidInput(t *testing.T) {
	directory := t.TempDir()
	if err := os.WriteFile(filepath.Join(directory, "file"), nil, 0o600); err != nil {
		t.Fatal(err)
	}
	tests := []struct {
		name      string
		code      int
		arguments []string
	}{
		{"missing authority", usheroperation.ExitFailure, []string{"keys", "issue", "a", "--authority", directory, "--out", directory}},
		{"missing authority directory", usheroperation.ExitUsage, []string{"keys", "issue", "a", "--authority", directory + "/none", "--out", directory}},
		{"path as process name", usheroperation.ExitUsage, []string{"keys", "issue", "../a", "--authority", directory, "--out", directory}},
		{"output directory is a file", usheroperation.ExitFailure, []string{"keys", "authority", "--out", directory + "/file"}},
		{"missing --out", usheroperation.ExitUsage, []string{"keys", "secret"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) { wantCode(t, run(t, test.arguments...), test.code) })
	}
	if files := readFiles(t, directory); len(files) != 1 {
		t.Errorf("files left after a failed command: %v", files)
	}
}

// readFiles returns the content of each file below directory by path and checks that its mode is 0600.
func readFiles(t *testing.T, directory string) map[string]string {
	t.Helper()
	files := map[string]string{}
	err := filepath.WalkDir(directory, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() {
			return err
		}
		info, err := entry.Info()
		if err != nil {
			return err
		}
		if info.Mode().Perm() != 0o600 {
			t.Errorf("%s has mode %o", path, info.Mode().Perm())
		}
		text, err := os.ReadFile(path)
		files[path] = string(text)
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	return files
}

func sameFiles(a, b map[string]string) bool {
	if len(a) != len(b) {
		return false
	}
	for path, text := range a {
		if b[path] != text {
			return false
		}
	}
	return true
}
