package usherdaemon_test

import (
	"encoding/json"
	"io/fs"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"strings"
	"testing"

	"github.com/samphireusher/samphireusher/pkg/usherview"
	"github.com/samphireusher/samphireusher/standin/usherfleet"
)

var (
	// logCall matches the log calls at the default level and above.
	logCall = regexp.MustCompile(`[lL]og\.(?:Info|Warn|Error)\("([^"]+)"`)
	// fileLink matches Markdown links to files.
	fileLink = regexp.MustCompile(`\]\(([^):#]+)\)`)
)

// TestPageExplainsEachLogEvent checks that the operators' documentation describes each log message of both daemons.
func TestPageExplainsEachLogEvent(t *testing.T) {
	page := readRunningPage(t)
	found := 0
	for _, root := range []string{"..", "../../pkg"} {
		err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
			// The messages of usherhost are documented on another page, which a test there checks.
			if err == nil && entry.IsDir() && entry.Name() == "usherhost" {
				return fs.SkipDir
			}
			if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			source, err := os.ReadFile(path)
			for _, match := range logCall.FindAllStringSubmatch(string(source), -1) {
				found++
				if !strings.Contains(page, "`"+match[1]+"`") {
					t.Errorf("running.md does not document the log message %q of %s", match[1], path)
				}
			}
			return err
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	if found == 0 {
		t.Error("no log messages were found")
	}
}

// TestPageExplainsEachDumpField checks that the operators' documentation describes each field in the dumps of a running
// gateway and scheduler.
func TestPageExplainsEachDumpField(t *testing.T) {
	page := readRunningPage(t)
	fleet, err := usherfleet.Start(t.Context(), usherfleet.Config{Engines: 1, Loopback: true, Directory: t.TempDir()})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = fleet.Close() })
	for _, daemon := range append(fleet.Gateways, fleet.Schedulers...) {
		data, err := json.Marshal(daemon.Dump(t.Context()))
		if err != nil {
			t.Fatal(err)
		}
		var fields map[string]json.RawMessage
		if err := json.Unmarshal(data, &fields); err != nil {
			t.Fatal(err)
		}
		for name := range fields {
			wantDocumented(t, page, name)
		}
	}
	for _, part := range []any{usherview.Dump{}, usherview.Counts{}} {
		dump := reflect.TypeOf(part)
		for i := range dump.NumField() {
			name, _, _ := strings.Cut(dump.Field(i).Tag.Get("json"), ",")
			wantDocumented(t, page, name)
		}
	}
}

// TestLinksLeadToFiles checks that each file link in the README and the operators' documentation exists.
func TestLinksLeadToFiles(t *testing.T) {
	pages, err := filepath.Glob("../../docs/operators/*.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, path := range append(pages, "../../README.md") {
		page, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		for _, match := range fileLink.FindAllStringSubmatch(string(page), -1) {
			if _, err := os.Stat(filepath.Join(filepath.Dir(path), match[1])); err != nil {
				t.Errorf("%s: %v", path, err)
			}
		}
	}
}

func readRunningPage(t *testing.T) string {
	t.Helper()
	page, err := os.ReadFile("../../docs/operators/running.md")
	if err != nil {
		t.Fatal(err)
	}
	return string(page)
}

func wantDocumented(t *testing.T, page, name string) {
	t.Helper()
	if !strings.Contains(page, "`"+name+"`") {
		t.Errorf("running.md does not document the dump field %s", name)
	}
}
