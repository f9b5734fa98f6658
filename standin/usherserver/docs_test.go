package usherserver_test

import (
	"os"
	"reflect"
	"strings"
	"testing"

	"gopkg.in/ini.v1"

	"github.com/samphireusher/samphireusher/standin/usherengine"
	"github.com/samphireusher/samphireusher/standin/usherplain"
	"github.com/samphireusher/samphireusher/standin/usherplatform"
	"github.com/samphireusher/samphireusher/standin/usherserver"
	"github.com/samphireusher/samphireusher/standin/usherweight"
)

func TestDocsListAllSettingsAndFaultSwitches(t *testing.T) {
	page, err := os.ReadFile("../../docs/operators/standins.md")
	if err != nil {
		t.Fatal(err)
	}
	tests := []struct {
		kind             string
		settings, faults any
	}{
		{"platform", usherserver.PlatformSettings{}, usherplatform.Faults{}},
		{"engine", usherserver.EngineSettings{}, usherengine.Faults{}},
		{"plain", usherserver.PlainSettings{}, usherplain.Faults{}},
		{"weights", usherserver.WeightsSettings{}, usherweight.Faults{}},
	}
	for _, test := range tests {
		t.Run(test.kind, func(t *testing.T) {
			rows := tableRows(string(page), test.kind)
			if len(rows) != 2 {
				t.Fatalf("%d rows for %s, want one for settings and one for fault switches", len(rows), test.kind)
			}
			settings, faults := reflect.TypeOf(test.settings), reflect.TypeOf(test.faults)
			for i := range settings.NumField() {
				checkListed(t, rows[0], ini.TitleUnderscore(settings.Field(i).Name))
			}
			for i := range faults.NumField() {
				checkListed(t, rows[1], faults.Field(i).Tag.Get("json"))
			}
		})
	}
}

func tableRows(page, kind string) (rows []string) {
	for line := range strings.Lines(page) {
		if strings.HasPrefix(line, "| `"+kind+"` |") {
			rows = append(rows, line)
		}
	}
	return rows
}

func checkListed(t *testing.T, row, name string) {
	t.Helper()
	if !strings.Contains(row, "`"+name+"`") {
		t.Errorf("the page does not list %s", name)
	}
}
