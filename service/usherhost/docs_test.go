package usherhost_test

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/samphireusher/samphireusher/pkg/ushersetting"
	"github.com/samphireusher/samphireusher/service/usherhost"
)

// logCall matches the calls that log at the default level or above.
var logCall = regexp.MustCompile(`[lL]og\.(?:Info|Warn|Error|LogAttrs)\((?:context\.Background\(\), slog\.LevelInfo, )?"([^"]+)"`)

func readPage(t *testing.T, name string) string {
	t.Helper()
	data, err := os.ReadFile(filepath.Join("..", "..", "docs", name))
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

func TestOperationsPageExplainsEachLogEvent(t *testing.T) {
	text := readPage(t, "OPERATIONS.md")
	files, err := filepath.Glob("*.go")
	if err != nil {
		t.Fatal(err)
	}
	found := 0
	for _, file := range files {
		source, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		if strings.HasSuffix(file, "_test.go") {
			continue
		}
		for _, match := range logCall.FindAllStringSubmatch(string(source), -1) {
			found++
			if !strings.Contains(text, "`"+match[1]+"`") {
				t.Errorf("OPERATIONS.md does not explain %q, logged in %s", match[1], file)
			}
		}
	}
	if found < 20 {
		t.Errorf("found only %d log events, want at least 20", found)
	}
}

func TestHostsPageListsEachSetting(t *testing.T) {
	text := readPage(t, "operators/hosts.md")
	for _, f := range ushersetting.Reference(&usherhost.Settings{}) {
		fallback := "none"
		switch {
		case f.Required:
			fallback = "must be given"
		case f.Default != "":
			fallback = "`" + f.Default + "`"
		}
		if line := "| `" + f.Section + "." + f.Key + "` | " + f.Type + " | " + fallback + " | " + f.Usage + " |"; !strings.Contains(text, line) {
			t.Errorf("operators/hosts.md lacks %s", line)
		}
	}
}

func TestSettingsValidation(t *testing.T) {
	const minimal = `[process]
name = a
data_centre = kochi
[listen]
callers = 10.0.0.1:1
ready = 10.0.0.1:2
locate = 10.0.0.1:3
admin = 10.0.0.1:4
peers = 10.0.0.1:5
[cluster]
seeds = 10.0.0.1:4, 10.0.0.2:4
[store]
address = 10.0.0.9:1
`
	for _, c := range []struct{ name, extra, wantError string }{
		{"minimal settings", "", ""},
		{"negative retry ratio", "[retries]\nratio = -1", "retries"},
		{"zero retry window", "[retries]\nwindow = 0s", "window"},
		{"no response buffer", "[answers]\nheld_bytes = 0", "answers"},
		{"body limit below the buffer limit", "[answers]\nbody_bytes = 1000", "answers"},
		{"unequal capacity", "[capacity]\nprocessor_share = 0.144\nprocessors = 1\nlink_mbps = 10.0", ""},
		{"empty capacity", "[capacity]\nprocessor_share =\nprocessors =\nlink_mbps =", ""},
		{"negative link", "[capacity]\nlink_mbps = -1", "capacity"},
		{"processor share that is no number", "[capacity]\nprocessor_share = NaN", "capacity"},
		{"zero grace period", "[stop]\ngrace = 0s", "grace"},
		{"unknown log level", "[log]\nlevel = loud", "log.level"},
		{"unknown key", "[log]\ncolour = red", "colour"},
	} {
		var s usherhost.Settings
		err := ushersetting.Parse([]byte(minimal+c.extra), &s)
		if (err == nil) != (c.wantError == "") || err != nil && !strings.Contains(err.Error(), c.wantError) {
			t.Errorf("%s: %v", c.name, err)
		}
	}
}
