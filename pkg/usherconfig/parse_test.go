package usherconfig_test

import (
	"flag"
	"os"
	"strings"
	"testing"
	"testing/fstest"

	"github.com/samphireusher/samphireusher/pkg/usherconfig"
)

const declarations = "../../_fixtures/declarations/"

var update = flag.Bool("update", false, "rewrite golden files")

func TestParseFixtures(t *testing.T) {
	tests := []struct {
		name      string
		templates []string
	}{
		{"consortium", []string{"allotment", "appraisal", "eligibility", "receipt", "standing"}},
		{"foundation", []string{"checkout", "lesson_plan", "stock", "tag"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			snapshot := parseFixture(t, test.name)
			var names []string
			for _, template := range snapshot.Templates {
				names = append(names, template.Name)
			}
			if got, want := strings.Join(names, " "), strings.Join(test.templates, " "); got != want {
				t.Errorf("templates %s, want %s", got, want)
			}
			counts := []int{
				len(snapshot.DataCentres), len(snapshot.Hosts), len(snapshot.Services), len(snapshot.Targets),
				len(snapshot.Workspaces),
			}
			for i, want := range []int{3, 9, 2, 15, 10} {
				if counts[i] != want {
					t.Errorf("count %d is %d, want %d", i, counts[i], want)
				}
			}
		})
	}
}

func TestParseReportsEveryFault(t *testing.T) {
	_, faults := usherconfig.Parse(os.DirFS(declarations + "broken"))
	var b strings.Builder
	for _, fault := range faults {
		b.WriteString(fault.String() + "\n")
	}
	golden := declarations + "broken.golden"
	if *update {
		if err := os.WriteFile(golden, []byte(b.String()), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(golden)
	if err != nil {
		t.Fatal(err)
	}
	if b.String() != string(want) {
		t.Errorf("faults:\n%swant:\n%s", b.String(), want)
	}
}

func TestParseLines(t *testing.T) {
	tests := []struct {
		name, text, want string
	}{
		{"after a quoted value", "[template t]\nprompt = \"\"\"a\nb\nc\"\"\"\nbogus = 1\n", "x.ini:5: [template t] bogus: unknown key"},
		{"after a byte order mark", "\uFEFF[service s]\nkind = wheel\n", "x.ini:2: [service s] kind: must be engine or plain"},
		{"carriage returns", "[service s]\r\nkind = wheel\r\n", "x.ini:2: [service s] kind: must be engine or plain"},
		{"value with a comment character", "[service s]\nkind = plain ; no comment\n", "x.ini:2: [service s] kind: must be engine or plain"},
		{"invalid UTF-8", "[service s]\nkind = \xff\n", "x.ini:2: [service s] the line must be valid UTF-8"},
		{"invalid UTF-8 in a quoted value", "[template t]\nprompt = `a\n\xff`\n", "x.ini:3: [template t] the line must be valid UTF-8"},
		{"title with spaces", "[ service   s ]\nkind = wheel\n", "x.ini:2: [service s] kind: must be engine or plain"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, faults := usherconfig.Parse(fstest.MapFS{"x.ini": {Data: []byte(test.text)}})
			for _, fault := range faults {
				if fault.String() == test.want {
					return
				}
			}
			t.Errorf("faults %v, want %s among them", faults, test.want)
		})
	}
}

func parseFixture(t testing.TB, name string) usherconfig.Snapshot {
	t.Helper()
	snapshot, faults := usherconfig.Parse(os.DirFS(declarations + name))
	for _, fault := range faults {
		t.Error(fault)
	}
	return snapshot
}
