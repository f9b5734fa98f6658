package usheroperation_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	usheroperation "github.com/samphireusher/samphireusher/cmd/usherctl/operate"
)

// explanations are responses of hosts, for the examples of the operators' page.
var explanations = map[string]string{
	"a stream at the host that chooses": `{"process":"kochi-1","version":7,"route":"appraisal","workspace":"weavers","rank":1,"services":[{"service":"valuer","share":1,"chosen_by":"kochi-1",
		"notes":[],"target":"engine-2","passed_over":{"resting":1},"candidates":[
		{"target":"engine-2","data_centre":"kochi","delay_ms":-271,"costs_ms":{"kept_parts":-298,"streams":25,"memory":1,"own":1,"failures":0.2},"expected_ms":114,"kept_tokens":2091,"entry_age_ms":5204},
		{"target":"engine-1","data_centre":"manila","delay_ms":110,"costs_ms":{"distance":60,"queued_prompts":50},"expected_ms":478,"entry_age_ms":5204},
		{"target":"engine-3","data_centre":"kochi","passed_over":"resting","back_in_ms":740}]}]}`,
	"another host": `{"process":"manila-1","version":7,"route":"appraisal","workspace":"weavers","rank":1,"services":[{"service":"valuer","share":1,"chosen_by":"kochi-1","omitted":2,
		"notes":["kochi-1 chooses; this host does not know what it has chosen for others in the last half second, and what targets keep of their prompts"],"target":"engine-1","candidates":[
		{"target":"engine-1","data_centre":"manila","delay_ms":50,"costs_ms":{"queued_prompts":50},"expected_ms":478,"late":true,"entry_age_ms":5204}]}]}`,
	"no target": `{"process":"kochi-1","version":7,"route":"status","workspace":"weavers","rank":0,"services":[{"service":"registry","share":1,"chosen_by":"kochi-1",
		"refusal":{"reason":"limited","status":503,"retry_after_ms":400,"retry_after_max_ms":600},"passed_over":{"limited":1},
		"candidates":[{"target":"plain-0","data_centre":"kochi","passed_over":"limited","back_in_ms":400}]}]}`,
	"no route": `{"process":"kochi-1","version":7,"rank":0,"services":[],"refusal":{"reason":"no_route","status":404,"cause":"usher_route.no_route: no route for host \"example\""}}`,
}

// newExplainer returns the address of a host that gives one answer, and the questions that it got.
func newExplainer(t *testing.T, status int, answer string) (string, *[]string) {
	t.Helper()
	var questions []string
	mux := http.NewServeMux()
	mux.HandleFunc("POST /explain", func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			t.Error(err)
		}
		questions = append(questions, string(body))
		w.WriteHeader(status)
		fmt.Fprint(w, answer)
	})
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return server.Listener.Addr().String(), &questions
}

func TestExplainPrintsTheExamplesOfThePage(t *testing.T) {
	page, err := os.ReadFile("../../../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	for name, answer := range explanations {
		address, _ := newExplainer(t, http.StatusOK, answer)
		got := run(t, "explain", address, "--host", "example", "--path", "/appraisal/1")
		wantCode(t, got, usheroperation.ExitOK)
		example := "    " + strings.ReplaceAll(strings.TrimRight(got.out, "\n"), "\n", "\n    ") + "\n"
		if !strings.Contains(string(page), "\n\n"+example+"\n") {
			t.Errorf("%s: OPERATIONS.md lacks\n%s", name, example)
		}
		if got := run(t, "explain", address, "--host", "example", "--path", "/appraisal/1", "--json"); got.out != answer {
			t.Errorf("%s: --json prints %s", name, got.out)
		}
	}
}

func TestExplainAsksAboutTheRequest(t *testing.T) {
	address, questions := newExplainer(t, http.StatusOK, "{}")
	file := filepath.Join(t.TempDir(), "head")
	if err := os.WriteFile(file, []byte("POST /appraisal/1 HTTP/1.1\nHost: example\n\nthe body"), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, arguments := range [][]string{
		{"--file", file},
		{"--host", "h", "--path", "/p", "--key", "k", "--model", "m", "--prompt-tokens", "3000", "--output-tokens", "900", "--part", "5c:800", "--part", "91:400"},
	} {
		wantCode(t, run(t, append([]string{"explain", address}, arguments...)...), usheroperation.ExitOK)
	}
	want := []string{
		`{"head":"POST /appraisal/1 HTTP/1.1\r\nHost: example\r\n\r\n"}`,
		`{"method":"POST","host":"h","path":"/p","key":"k","model":"m","prompt_tokens":3000,"output_tokens":900,"parts":[{"id":"5c","tokens":800},{"id":"91","tokens":400}]}`,
	}
	if got := strings.Join(*questions, "\n"); got != strings.Join(want, "\n") {
		t.Errorf("asked\n%s\nwant\n%s", got, strings.Join(want, "\n"))
	}
}

func TestExplainErrors(t *testing.T) {
	working, _ := newExplainer(t, http.StatusOK, "{}")
	broken, _ := newExplainer(t, http.StatusOK, "{")
	strict, _ := newExplainer(t, http.StatusBadRequest, "not the head of a request")
	other := httptest.NewServer(http.NotFoundHandler())
	t.Cleanup(other.Close)
	empty := filepath.Join(t.TempDir(), "empty")
	if err := os.WriteFile(empty, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		name      string
		code      int
		arguments []string
	}{
		{"no request", usheroperation.ExitUsage, []string{working}},
		{"no path", usheroperation.ExitUsage, []string{working, "--host", "h"}},
		{"a file and flags", usheroperation.ExitUsage, []string{working, "--file", empty, "--host", "h"}},
		{"an empty file", usheroperation.ExitUsage, []string{working, "--file", empty}},
		{"no such file", usheroperation.ExitFailure, []string{working, "--file", empty + "?"}},
		{"negative tokens", usheroperation.ExitUsage, []string{working, "--host", "h", "--path", "/", "--prompt-tokens=-1"}},
		{"a part without tokens", usheroperation.ExitUsage, []string{working, "--host", "h", "--path", "/", "--part", "a"}},
		{"a part without an id", usheroperation.ExitUsage, []string{working, "--host", "h", "--path", "/", "--part", ":3"}},
		{"refused question", usheroperation.ExitUsage, []string{strict, "--host", "h", "--path", "/"}},
		{"invalid JSON", usheroperation.ExitFailure, []string{broken, "--host", "h", "--path", "/"}},
		{"not a host", usheroperation.ExitFailure, []string{other.Listener.Addr().String(), "--host", "h", "--path", "/"}},
		{"connection refused", usheroperation.ExitFailure, []string{"127.0.0.1:1", "--host", "h", "--path", "/"}},
		{"invalid address", usheroperation.ExitUsage, []string{"%", "--host", "h", "--path", "/"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			got := run(t, append([]string{"explain"}, c.arguments...)...)
			wantCode(t, got, c.code)
			if got.out != "" {
				t.Errorf("printed %q", got.out)
			}
		})
	}
}
