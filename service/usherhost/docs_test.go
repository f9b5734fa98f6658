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

func page(t *testing.T, name string) string {
	t.Helper()
	data, err := os.ReadFile(filepath.Join("..", "..", "docs", name))
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

func TestPageExplainsEachLogEvent(t *testing.T) {
	text := page(t, "OPERATIONS.md")
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
				t.Errorf("the page does not explain %q of %s", match[1], file)
			}
		}
	}
	if found < 20 {
		t.Errorf("only %d events were found", found)
	}
}

func TestPageHasEachSetting(t *testing.T) {
	text := page(t, "operators/hosts.md")
	for _, f := range ushersetting.Reference(&usherhost.Settings{}) {
		fallback := "none"
		switch {
		case f.Required:
			fallback = "must be given"
		case f.Default != "":
			fallback = "`" + f.Default + "`"
		}
		if line := "| `" + f.Section + "." + f.Key + "` | " + f.Type + " | " + fallback + " | " + f.Usage + " |"; !strings.Contains(text, line) {
			t.Errorf("the page lacks %s", line)
		}
	}
}

func TestSettingsAreCheckedAsAWhole(t *testing.T) {
	const good = `[process]
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
	for _, c := range []struct{ name, more, fault string }{
		{"nothing more", "", ""},
		{"a ratio below zero", "[retries]\nratio = -1", "retries"},
		{"no window", "[retries]\nwindow = 0s", "window"},
		{"no room for answers", "[answers]\nheld_bytes = 0", "answers"},
		{"less passed on than held", "[answers]\nbody_bytes = 1000", "answers"},
		{"no grace", "[stop]\ngrace = 0s", "grace"},
		{"an odd level", "[log]\nlevel = loud", "log.level"},
		{"an unknown key", "[log]\ncolour = red", "colour"},
	} {
		var s usherhost.Settings
		err := ushersetting.Parse([]byte(good+c.more), &s)
		if (err == nil) != (c.fault == "") || err != nil && !strings.Contains(err.Error(), c.fault) {
			t.Errorf("%s: %v", c.name, err)
		}
	}
}
