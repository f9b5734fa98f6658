package usherreport_test

import (
	"errors"
	"os"
	"strings"
	"testing"

	"github.com/samphireusher/samphireusher/bench/ushermeasure"
	"github.com/samphireusher/samphireusher/bench/usherreport"
)

// memberRecords returns records of the member benchmark whose processor time is 0.5 cores plus 0.01 cores per peer.
func memberRecords() usherreport.Data {
	data := usherreport.Data{}
	for _, peers := range []int{9, 27, 90} {
		data = append(data, ushermeasure.Record{
			Benchmark: ushermeasure.Member, Point: ushermeasure.Point{Peers: peers, Targets: 12, Workspaces: 10},
			Measure: "processor", Unit: "core", Value: 0.5 + 0.01*float64(peers),
		})
	}
	return data
}

func TestCheckFailsWithoutMeasurements(t *testing.T) {
	var out strings.Builder
	if err := memberRecords().Check(&out); !errors.Is(err, usherreport.ErrBoundExceeded) {
		t.Fatalf("error %v, want %v", err, usherreport.ErrBoundExceeded)
	}
	if strings.Contains(out.String(), " ok\n") {
		t.Fatalf("a measure without records is reported as ok:\n%s", out.String())
	}
}

func TestCheckReportsExceededBounds(t *testing.T) {
	for value, want := range map[float64]string{1.5: "ok", 1.51: "BROKEN"} {
		data := usherreport.Data{{
			Benchmark: ushermeasure.Relay, Point: ushermeasure.Point{Variant: ushermeasure.Fast}, Measure: "processor_ratio", Value: value,
		}}
		var out strings.Builder
		if err := data.Check(&out); !errors.Is(err, usherreport.ErrBoundExceeded) {
			t.Fatalf("error %v, want %v", err, usherreport.ErrBoundExceeded)
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
	if err := memberRecords().Capacity(&out, "a machine"); err != nil {
		t.Fatal(err)
	}
	if want := "| member, processor | peers | core | 0.5 | 0.01 | [9 27 90] | 3 |"; !strings.Contains(out.String(), want) {
		t.Fatalf("no line %q in:\n%s", want, out.String())
	}
	if !strings.Contains(out.String(), "not measured") {
		t.Fatal("the report does not mark measures without records")
	}
}

// TestCapacityIsUpToDate checks that docs/CAPACITY.md is what the committed records generate.
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
		t.Fatal("docs/CAPACITY.md is out of date: run make capacity")
	}
}
