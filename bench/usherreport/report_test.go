package usherreport_test

import (
	"errors"
	"os"
	"strings"
	"testing"

	"github.com/samphireusher/samphireusher/bench/ushermeasure"
	"github.com/samphireusher/samphireusher/bench/usherreport"
)

// lines returns a member's processor time that grows by a hundredth of a core with each peer.
func lines() usherreport.Data {
	data := usherreport.Data{}
	for _, peers := range []int{9, 27, 90} {
		data = append(data, ushermeasure.Record{
			Benchmark: ushermeasure.Member, Point: ushermeasure.Point{Peers: peers, Targets: 12, Workspaces: 10},
			Measure: "processor", Unit: "core", Value: 0.5 + 0.01*float64(peers),
		})
	}
	return data
}

func TestCheckFailsWithoutFigures(t *testing.T) {
	var out strings.Builder
	if err := lines().Check(&out); !errors.Is(err, usherreport.ErrBroken) {
		t.Fatalf("error %v, want %v", err, usherreport.ErrBroken)
	}
	if strings.Contains(out.String(), " ok\n") {
		t.Fatalf("a figure that was not measured is ok:\n%s", out.String())
	}
}

func TestCheckTellsBroken(t *testing.T) {
	for value, want := range map[float64]string{1.5: "ok", 1.51: "BROKEN"} {
		data := usherreport.Data{{
			Benchmark: ushermeasure.Relay, Point: ushermeasure.Point{Variant: ushermeasure.Fast}, Measure: "processor_ratio", Value: value,
		}}
		var out strings.Builder
		if err := data.Check(&out); !errors.Is(err, usherreport.ErrBroken) {
			t.Fatalf("error %v, want %v", err, usherreport.ErrBroken)
		}
		for line := range strings.Lines(out.String()) {
			if strings.Contains(line, "full speed") && !strings.HasSuffix(strings.TrimSpace(line), want) {
				t.Errorf("%v: %s", value, line)
			}
		}
	}
}

func TestCapacityHasSlopes(t *testing.T) {
	var out strings.Builder
	if err := lines().Capacity(&out, "a machine"); err != nil {
		t.Fatal(err)
	}
	if want := "| member, processor | peers | core | 0.5 | 0.01 | [9 27 90] | 3 |"; !strings.Contains(out.String(), want) {
		t.Fatalf("no line %q in:\n%s", want, out.String())
	}
	if !strings.Contains(out.String(), "not measured") {
		t.Fatal("the page does not say what was not measured")
	}
}

// TestCapacityIsUpToDate makes the page from the committed records.
func TestCapacityIsUpToDate(t *testing.T) {
	read := func(path string) string {
		data, err := os.ReadFile("../../docs/" + path)
		if err != nil {
			t.Fatal(err)
		}
		return string(data)
	}
	data, err := usherreport.Read(strings.NewReader(read("data/bench.jsonl")))
	if err != nil {
		t.Fatal(err)
	}
	var out strings.Builder
	if err := data.Capacity(&out, read("data/machine.md")); err != nil {
		t.Fatal(err)
	}
	if out.String() != read("CAPACITY.md") {
		t.Fatal("docs/CAPACITY.md is not what make capacity makes")
	}
}
