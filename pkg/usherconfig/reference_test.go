package usherconfig_test

import (
	"fmt"
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/samphireusher/samphireusher/pkg/usherconfig"
)

var referenceRow = regexp.MustCompile("(?m)^\\| `([a-z_]+)` \\| (yes|no) \\|")

// TestReferenceNamesEveryKey checks that the operators' page lists exactly the sections and keys of Reference.
func TestReferenceNamesEveryKey(t *testing.T) {
	page, err := os.ReadFile("../../docs/operators/declarations.md")
	if err != nil {
		t.Fatal(err)
	}
	sections := strings.Split(string(page), "\n### ")[1:]
	references := usherconfig.Reference()
	if len(sections) != len(references) {
		t.Fatalf("the page has %d sections, want %d", len(sections), len(references))
	}
	for i, reference := range references {
		title := "`[" + strings.Join(append([]string{reference.Kind}, reference.Names...), " ") + "]`"
		heading, body, _ := strings.Cut(sections[i], "\n")
		if heading != title {
			t.Errorf("section %s, want %s", heading, title)
		}
		var got, want []string
		for _, row := range referenceRow.FindAllStringSubmatch(body, -1) {
			got = append(got, row[1]+" "+row[2])
		}
		for _, key := range reference.Keys {
			want = append(want, key.Name+" "+map[bool]string{true: "yes", false: "no"}[key.Required])
		}
		if fmt.Sprint(got) != fmt.Sprint(want) {
			t.Errorf("%s has keys %v, want %v", title, got, want)
		}
	}
}
