package daemon_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"regexp"
	"strings"
	"testing"
	"time"
)

// age matches the times that pass between two dumps.
var age = regexp.MustCompile(`"age_ms": \d+`)

type explanation struct {
	Route    string            `json:"route"`
	Rank     int               `json:"rank"`
	Refusal  *explainedRefusal `json:"refusal"`
	Services []struct {
		ChosenBy   string            `json:"chosen_by"`
		Notes      []string          `json:"notes"`
		Target     string            `json:"target"`
		Refusal    *explainedRefusal `json:"refusal"`
		PassedOver map[string]int    `json:"passed_over"`
		Candidates []struct {
			Target     string             `json:"target"`
			DelayMs    float64            `json:"delay_ms"`
			CostsMs    map[string]float64 `json:"costs_ms"`
			ExpectedMs int64              `json:"expected_ms"`
			KeptTokens int                `json:"kept_tokens"`
		} `json:"candidates"`
	} `json:"services"`
}

type explainedRefusal struct {
	Reason          string `json:"reason"`
	Status          int    `json:"status"`
	RetryAfterMs    int64  `json:"retry_after_ms"`
	RetryAfterMaxMs int64  `json:"retry_after_max_ms"`
}

// question returns the question with a request's head.
func question(path, key string) string {
	text, _ := json.Marshal(fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: a1\r\nApi-Key: %s\r\nToken-Counts: 3000,900\r\nModel: m\r\nPrompt-Prefix: 5c1e:800,91bd:1400,e440:800\r\n\r\n", path, hostName, key))
	return `{"head":` + string(text) + `}`
}

func (b *testbed) explain(h *host, text string) (explanation, int) {
	b.t.Helper()
	r, err := http.NewRequestWithContext(b.t.Context(), http.MethodPost, fmt.Sprintf("http://%s:%d/explain", h.ip, adminPort), strings.NewReader(text))
	if err != nil {
		b.t.Fatal(err)
	}
	got := b.do(r)
	var e explanation
	if err := json.Unmarshal([]byte(got.body), &e); err != nil && got.status == http.StatusOK {
		b.t.Fatalf("%v in %s", err, got.body)
	}
	return e, got.status
}

func TestExplainTellsWhereARequestGoes(t *testing.T) {
	withTestbed(t, options{hosts: 2, engines: 4, plainTargets: 2}, func(t *testing.T, b *testbed) {
		time.Sleep(2 * time.Second)
		b.postPrompt(b.hosts[0])
		time.Sleep(time.Second)
		before := age.ReplaceAllString(b.getAt(b.hosts[0], adminPort, "/dump").body, "")
		metrics := b.getAt(b.hosts[0], adminPort, "/metrics").body
		var e explanation
		for range 20 {
			e, _ = b.explain(b.hosts[0], question("/appraisal/1", apiKey))
		}
		if after := age.ReplaceAllString(b.getAt(b.hosts[0], adminPort, "/dump").body, ""); after != before {
			t.Errorf("the dump has changed from\n%s\nto\n%s", before, after)
		}
		if after := b.getAt(b.hosts[0], adminPort, "/metrics").body; after != metrics {
			t.Errorf("the metrics have changed from\n%s\nto\n%s", metrics, after)
		}
		if len(e.Services) != 1 || e.Services[0].ChosenBy != "host-0" || len(e.Services[0].Notes) > 0 || len(e.Services[0].Candidates) != 4 {
			t.Fatalf("%+v", e)
		}
		service := e.Services[0]
		if best := service.Candidates[0]; best.Target != service.Target || best.KeptTokens < 2000 || best.CostsMs["kept_parts"] > -250 || best.ExpectedMs > 200 {
			t.Errorf("%+v", best)
		}
		got := b.postPrompt(b.hosts[0])
		if target, _ := b.onlyRun(got.attempt); target != service.Target {
			t.Errorf("the request went to %s, %s was told", target, service.Target)
		}
		// Another host says that it does not choose.
		if e, _ := b.explain(b.hosts[1], question("/appraisal/1", apiKey)); e.Services[0].ChosenBy != "host-0" || len(e.Services[0].Notes) != 1 {
			t.Errorf("%+v", e.Services[0])
		}
		if e, _ := b.explain(b.hosts[1], `{"host":"`+hostName+`","path":"/status/1","key":"`+apiKey+`"}`); e.Route != "status" || e.Services[0].ChosenBy != "host-1" || !strings.HasPrefix(e.Services[0].Target, "plain-") {
			t.Errorf("%+v", e)
		}
	})
}

func TestExplainTellsRefusals(t *testing.T) {
	withTestbed(t, options{hosts: 1, engines: 2}, func(t *testing.T, b *testbed) {
		for _, c := range []struct {
			question, reason string
			status           int
		}{
			{question("/nowhere/1", apiKey), "no_route", 404},
			{question("/appraisal/1", "another"), "unknown_key", 401},
			{strings.Replace(question("/appraisal/1", apiKey), "Attempt-Id", "X", 1), "malformed", 400},
		} {
			if e, status := b.explain(b.hosts[0], c.question); status != 200 || e.Refusal == nil || e.Refusal.Reason != c.reason || e.Refusal.Status != c.status {
				t.Errorf("%s: status %d, %+v", c.reason, status, e.Refusal)
			}
		}
		for _, text := range []string{
			"", "{", `{"head":"x"}`, `{"odd":1}`, `{"host":"h"}`, `{"host":"h","path":"/","prompt_tokens":-1}`, `{"host":"h","path":"/","parts":[{"id":"a"}]}`,
			`{"host":"` + strings.Repeat("h", 70000) + `"}`,
		} {
			if _, status := b.explain(b.hosts[0], text); status != 400 {
				t.Errorf("%.60s: status %d, want 400", text, status)
			}
		}
		for id := range b.targets {
			b.publish(id, "draining")
		}
		time.Sleep(time.Second)
		e, _ := b.explain(b.hosts[0], question("/appraisal/1", apiKey))
		if got := e.Services[0]; got.Target != "" || got.Refusal == nil || got.Refusal.Reason != "no_target" || got.Refusal.RetryAfterMs != 1000 || got.PassedOver["leaving"] != 2 {
			t.Errorf("%+v, %+v", got, got.Refusal)
		}
		answer := b.post(b.hosts[0], "/appraisal/1")
		if want := e.Services[0].Refusal; answer.status != want.Status || answer.header.Get("Retry-After") != "1.000" {
			t.Errorf("the request got status %d, Retry-After %s; told were %+v", answer.status, answer.header.Get("Retry-After"), want)
		}
	})
}
