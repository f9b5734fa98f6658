package usheroperation

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"

	"github.com/alecthomas/kong"
)

const (
	explainPath = "/explain"
	// maxHeadBytes bounds the file with the head of a request.
	maxHeadBytes = 48 << 10
	// shownCosts are the costs of a candidate that text shows, the largest ones.
	shownCosts = 4
)

type (
	explainCommand struct {
		Address      string   `arg:"" help:"Admin address of the host: listen.admin of its settings."`
		File         string   `help:"File with the head of the request, as callers send it; - for standard input."`
		Host         string   `help:"Host name that the request is for."`
		Path         string   `help:"Path of the request."`
		Method       string   `help:"Method of the request." default:"POST"`
		Key          string   `help:"Key of the workspace. Other users of the machine may see it here: prefer the environment." env:"USHER_KEY"`
		Model        string   `help:"Model that is to answer."`
		PromptTokens int      `help:"Length of the prompt."`
		OutputTokens int      `help:"Expected length of the output."`
		Parts        []string `name:"part" help:"Part of the prompt that other requests may share, as ID:TOKENS, in order." placeholder:"ID:TOKENS"`
	}

	explainQuestion struct {
		Head         string        `json:"head,omitempty"`
		Method       string        `json:"method,omitempty"`
		Host         string        `json:"host,omitempty"`
		Path         string        `json:"path,omitempty"`
		Key          string        `json:"key,omitempty"`
		Model        string        `json:"model,omitempty"`
		PromptTokens int           `json:"prompt_tokens,omitempty"`
		OutputTokens int           `json:"output_tokens,omitempty"`
		Parts        []explainPart `json:"parts,omitempty"`
	}

	explainPart struct {
		ID     string `json:"id"`
		Tokens int    `json:"tokens"`
	}

	explanation struct {
		Process   string             `json:"process"`
		Version   int64              `json:"version"`
		Route     string             `json:"route"`
		Workspace string             `json:"workspace"`
		Rank      int                `json:"rank"`
		Refusal   *explainedRefusal  `json:"refusal"`
		Services  []explainedService `json:"services"`
	}

	explainedRefusal struct {
		Reason          string `json:"reason"`
		Status          int    `json:"status"`
		RetryAfterMs    *int64 `json:"retry_after_ms"`
		RetryAfterMaxMs *int64 `json:"retry_after_max_ms"`
		Cause           string `json:"cause"`
	}

	explainedService struct {
		Service    string               `json:"service"`
		Share      float64              `json:"share"`
		ChosenBy   string               `json:"chosen_by"`
		Notes      []string             `json:"notes"`
		Target     string               `json:"target"`
		Refusal    *explainedRefusal    `json:"refusal"`
		Candidates []explainedCandidate `json:"candidates"`
		PassedOver map[string]int       `json:"passed_over"`
		Omitted    int                  `json:"omitted"`
	}

	explainedCandidate struct {
		Target     string             `json:"target"`
		DataCentre string             `json:"data_centre"`
		PassedOver string             `json:"passed_over"`
		BackInMs   int64              `json:"back_in_ms"`
		DelayMs    float64            `json:"delay_ms"`
		CostsMs    map[string]float64 `json:"costs_ms"`
		ExpectedMs int64              `json:"expected_ms"`
		Late       bool               `json:"late"`
		KeptTokens int                `json:"kept_tokens"`
		EntryAgeMs int64              `json:"entry_age_ms"`
	}
)

// Run prints where a request would go. The request is not sent.
func (c *explainCommand) Run(k *kong.Context, format Format) error {
	question, err := c.question(os.Stdin)
	if err != nil {
		return err
	}
	ctx, stop := signalContext()
	defer stop()
	body, err := c.ask(ctx, question)
	if err != nil {
		return err
	}
	if format.JSON {
		_, err := k.Stdout.Write(body)
		return err
	}
	var e explanation
	if err := json.Unmarshal(body, &e); err != nil {
		return ErrProcess.Wrap(err, "%s%s did not return valid JSON", c.Address, explainPath)
	}
	e.print(k.Stdout)
	return nil
}

func (c *explainCommand) question(stdin io.Reader) (explainQuestion, error) {
	if c.File != "" {
		if c.Host != "" || c.Path != "" || c.Model != "" || len(c.Parts) > 0 || c.PromptTokens != 0 || c.OutputTokens != 0 {
			return explainQuestion{}, ErrUsage.New("--file has the whole request; it cannot be combined with flags that describe one")
		}
		head, err := readHead(c.File, stdin)
		return explainQuestion{Head: head}, err
	}
	q := explainQuestion{Method: c.Method, Host: c.Host, Path: c.Path, Key: c.Key, Model: c.Model, PromptTokens: c.PromptTokens, OutputTokens: c.OutputTokens}
	if c.Host == "" || c.Path == "" {
		return q, ErrUsage.New("no request: give --file, or --host and --path")
	}
	if c.PromptTokens < 0 || c.OutputTokens < 0 {
		return q, ErrUsage.New("--prompt-tokens and --output-tokens must not be negative")
	}
	for _, text := range c.Parts {
		id, count, _ := strings.Cut(text, ":")
		tokens, err := strconv.Atoi(count)
		if id == "" || err != nil || tokens <= 0 {
			return q, ErrUsage.New("--part is %q; want ID:TOKENS with a number above zero", text)
		}
		q.Parts = append(q.Parts, explainPart{ID: id, Tokens: tokens})
	}
	return q, nil
}

// readHead returns the text of a file, or of stdin for "-", up to its first empty line.
func readHead(path string, stdin io.Reader) (string, error) {
	in := stdin
	if path != "-" {
		file, err := os.Open(path)
		if err != nil {
			return "", ErrFile.Wrap(err, "cannot read the request")
		}
		defer file.Close()
		in = file
	}
	data, err := io.ReadAll(io.LimitReader(in, maxHeadBytes))
	if err != nil {
		return "", ErrFile.Wrap(err, "cannot read the request")
	}
	head, _, _ := strings.Cut(strings.ReplaceAll(string(data), "\r\n", "\n"), "\n\n")
	if strings.TrimSpace(head) == "" {
		return "", ErrUsage.New("%s has no head of a request", path)
	}
	return strings.ReplaceAll(strings.TrimRight(head, "\n"), "\n", "\r\n") + "\r\n\r\n", nil
}

func (c *explainCommand) ask(ctx context.Context, question explainQuestion) ([]byte, error) {
	data, err := json.Marshal(question)
	if err != nil {
		return nil, ErrUsage.Wrap(err, "cannot encode the question")
	}
	ctx, cancel := context.WithTimeout(ctx, inspectTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.Address+explainPath, bytes.NewReader(data))
	if err != nil {
		return nil, ErrUsage.Wrap(err, "invalid address %q", c.Address)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, ErrProcess.Wrap(err, "cannot reach the admin address")
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxDumpBytes))
	switch {
	case err != nil:
		return nil, ErrProcess.Wrap(err, "cannot read the response")
	case response.StatusCode == http.StatusBadRequest:
		return nil, ErrUsage.New("%s: %s", c.Address, strings.TrimSpace(string(body)))
	case response.StatusCode != http.StatusOK:
		return nil, ErrProcess.New("%s%s: %s; is this a host's admin address?", c.Address, explainPath, response.Status)
	}
	return body, nil
}

func (e explanation) print(out io.Writer) {
	if e.Route != "" {
		fmt.Fprintf(out, "route %s, workspace %q, rank %d, declarations %d, asked %s\n", e.Route, e.Workspace, e.Rank, e.Version, e.Process)
	}
	if e.Refusal != nil {
		fmt.Fprintln(out, e.Refusal)
	}
	for _, s := range e.Services {
		s.print(out)
	}
}

func (s explainedService) print(out io.Writer) {
	fmt.Fprintf(out, "service %s (%.0f%% of the route), chosen by %s\n", s.Service, 100*s.Share, s.ChosenBy)
	for _, note := range s.Notes {
		fmt.Fprintf(out, "  note: %s\n", note)
	}
	if s.Refusal != nil {
		fmt.Fprintf(out, "  %s\n", s.Refusal)
	}
	for _, c := range s.Candidates {
		mark := " "
		if c.Target == s.Target {
			mark = "*"
		}
		fmt.Fprintf(out, "  %s %s\n", mark, c)
	}
	if s.Omitted > 0 {
		fmt.Fprintf(out, "  %d more targets\n", s.Omitted)
	}
	for _, reason := range slices.Sorted(maps.Keys(s.PassedOver)) {
		fmt.Fprintf(out, "  passed over as %s: %d\n", reason, s.PassedOver[reason])
	}
}

// String returns one line on a candidate, with its largest costs.
func (c explainedCandidate) String() string {
	text := fmt.Sprintf("%s in %s: ", c.Target, c.DataCentre)
	if c.PassedOver != "" {
		text += "passed over as " + c.PassedOver
		if c.BackInMs > 0 {
			text += fmt.Sprintf(", back in %d ms", c.BackInMs)
		}
		return text
	}
	text += fmt.Sprintf("delay %.1f ms, first result expected after %d ms", c.DelayMs, c.ExpectedMs)
	if c.Late {
		text += ", late"
	}
	if c.KeptTokens > 0 {
		text += fmt.Sprintf(", %d tokens kept", c.KeptTokens)
	}
	names := slices.SortedFunc(maps.Keys(c.CostsMs), func(a, b string) int {
		return cmp.Or(cmp.Compare(math.Abs(c.CostsMs[b]), math.Abs(c.CostsMs[a])), cmp.Compare(a, b))
	})
	for _, name := range names[:min(len(names), shownCosts)] {
		text += fmt.Sprintf(", %s %.1f", name, c.CostsMs[name])
	}
	return text + fmt.Sprintf(", entry %d ms old", c.EntryAgeMs)
}

// String returns one line on a refusal.
func (r explainedRefusal) String() string {
	text := fmt.Sprintf("refused with %d %s", r.Status, r.Reason)
	switch {
	case r.RetryAfterMs == nil || r.RetryAfterMaxMs == nil:
	case *r.RetryAfterMs == *r.RetryAfterMaxMs:
		text += fmt.Sprintf(", Retry-After %.3f", float64(*r.RetryAfterMs)/1000)
	default:
		text += fmt.Sprintf(", Retry-After %.3f to %.3f", float64(*r.RetryAfterMs)/1000, float64(*r.RetryAfterMaxMs)/1000)
	}
	if r.Cause != "" {
		text += ": " + r.Cause
	}
	return text
}
