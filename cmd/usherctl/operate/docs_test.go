package usheroperation_test

import (
	"os"
	"strings"
	"testing"

	"github.com/alecthomas/kong"
)

// TestPageNamesEachCommand compares the page that operators read with the command line.
func TestPageNamesEachCommand(t *testing.T) {
	page, err := os.ReadFile("../../../docs/operators/commands.md")
	if err != nil {
		t.Fatal(err)
	}
	sections := sectionsOf(string(page))
	model := parser(t, &line{}, &buffer{}, &buffer{}).Model
	for _, leaf := range model.Leaves(true) {
		name := strings.TrimPrefix(leaf.FullPath(), "usherctl ")
		section, ok := sections[name]
		if !ok {
			t.Errorf("the page has no section on %s", name)
			continue
		}
		for _, positional := range leaf.Positional {
			wantNamed(t, name, section, strings.ToUpper(strings.ReplaceAll(positional.Name, "-", "_")))
		}
		for _, flag := range leaf.Flags {
			wantFlag(t, name, section, flag)
		}
	}
}

func wantFlag(t *testing.T, name, section string, flag *kong.Flag) {
	t.Helper()
	wantNamed(t, name, section, "--"+flag.Name)
	if flag.Short != 0 {
		wantNamed(t, name, section, "-"+string(flag.Short)+" ")
	}
	for _, variable := range flag.Envs {
		wantNamed(t, name, section, variable)
	}
	if flag.HasDefault {
		wantNamed(t, name, section, flag.Default)
	}
}

func wantNamed(t *testing.T, name, section, word string) {
	t.Helper()
	if !strings.Contains(section, word) {
		t.Errorf("the section on %s does not name %s", name, word)
	}
}

// sectionsOf returns the text below each heading of a command. What every caller's command has stands in one place.
func sectionsOf(page string) map[string]string {
	_, callers, _ := strings.Cut(page, "## As a caller\n")
	callers, _, _ = strings.Cut(callers, "\n#")
	sections := map[string]string{}
	for part := range strings.SplitSeq(page, "\n### ") {
		heading, text, _ := strings.Cut(part, "\n")
		text, _, _ = strings.Cut(text, "\n## ")
		name := strings.Trim(heading, "`")
		switch {
		case strings.HasPrefix(name, "keys"), name == "dump", name == "metrics":
			sections[name] = text
		default:
			sections[name] = text + callers
		}
	}
	return sections
}
