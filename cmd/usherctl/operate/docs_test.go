package usheroperation_test

import (
	"os"
	"strings"
	"testing"

	"github.com/alecthomas/kong"
)

// TestPageNamesEachCommand checks that the operators' documentation mentions every command, argument, flag, environment
// variable and default.
func TestPageNamesEachCommand(t *testing.T) {
	page, err := os.ReadFile("../../../docs/operators/commands.md")
	if err != nil {
		t.Fatal(err)
	}
	sections := parseSections(string(page))
	model := parser(t, &commandLine{}, &syncBuffer{}, &syncBuffer{}).Model
	for _, leaf := range model.Leaves(true) {
		name := strings.TrimPrefix(leaf.FullPath(), "usherctl ")
		section, ok := sections[name]
		if !ok {
			t.Errorf("commands.md has no section on %s", name)
			continue
		}
		for _, positional := range leaf.Positional {
			wantMentioned(t, name, section, strings.ToUpper(strings.ReplaceAll(positional.Name, "-", "_")))
		}
		for _, flag := range leaf.Flags {
			wantFlag(t, name, section, flag)
		}
	}
}

func wantFlag(t *testing.T, name, section string, flag *kong.Flag) {
	t.Helper()
	wantMentioned(t, name, section, "--"+flag.Name)
	if flag.Short != 0 {
		wantMentioned(t, name, section, "-"+string(flag.Short)+" ")
	}
	for _, variable := range flag.Envs {
		wantMentioned(t, name, section, variable)
	}
	if flag.HasDefault {
		wantMentioned(t, name, section, flag.Default)
	}
}

func wantMentioned(t *testing.T, name, section, word string) {
	t.Helper()
	if !strings.Contains(section, word) {
		t.Errorf("the section on %s does not mention %s", name, word)
	}
}

// parseSections returns the text of each command's section by name. The section "As a caller" documents the flags that all
// callers' commands share, so its text is added to the section of each of these.
func parseSections(page string) map[string]string {
	_, callers, _ := strings.Cut(page, "## As a caller\n")
	callers, _, _ = strings.Cut(callers, "\n#")
	sections := map[string]string{}
	for part := range strings.SplitSeq(page, "\n### ") {
		heading, text, _ := strings.Cut(part, "\n")
		text, _, _ = strings.Cut(text, "\n## ")
		name := strings.Trim(heading, "`")
		switch {
		case strings.HasPrefix(name, "keys"), name == "dump", name == "metrics", name == "explain":
			sections[name] = text
		default:
			sections[name] = text + callers
		}
	}
	return sections
}
