package ushersetting_test

import (
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/samphireusher/samphireusher/pkg/ushersetting"
)

type settings struct {
	Link struct {
		Listen netip.AddrPort   `ini:"listen" required:"true" usage:"address"`
		Peers  []netip.AddrPort `ini:"peers"`
		Wait   time.Duration    `ini:"wait" default:"2s"`
	} `ini:"link"`
	Limits struct {
		Requests int `ini:"requests" default:"100"`
	} `ini:"limits"`
}

func (s *settings) Check() []string {
	if s.Limits.Requests < 1 {
		return []string{"limits.requests must be at least 1"}
	}
	return nil
}

func TestParse(t *testing.T) {
	tests := []struct {
		name, text string
		problems   []string
	}{
		{"good", "[link]\nlisten=127.0.0.1:1\npeers=127.0.0.1:2, 127.0.0.1:3\n", nil},
		{"missing", "[link]\nwait=1s\n", []string{"link.listen must be given"}},
		{"unknown", "[link]\nlisten=127.0.0.1:1\ncolour=red\n[other]\na=b\n", []string{"unknown key link.colour", "unknown section [other]"}},
		{"wrong types", "[link]\nlisten=localhost:1\nwait=soon\n[limits]\nrequests=many\n", []string{"link.listen", "link.wait", "limits.requests"}},
		{"negative duration", "[link]\nlisten=127.0.0.1:1\nwait=-1s\n", []string{"link.wait"}},
		{"rule", "[link]\nlisten=127.0.0.1:1\n[limits]\nrequests=0\n", []string{"at least 1"}},
		{"no ini", "[link\n", []string{"not valid INI"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var s settings
			err := ushersetting.Parse([]byte(test.text), &s)
			if (err != nil) != (len(test.problems) > 0) {
				t.Fatalf("error %v, want problems %q", err, test.problems)
			}
			for _, problem := range test.problems {
				if !strings.Contains(err.Error(), problem) {
					t.Errorf("error %q does not name %q", err, problem)
				}
			}
		})
	}
}

func TestDefaultsAndLists(t *testing.T) {
	var s settings
	if err := ushersetting.Parse([]byte("[link]\nlisten=127.0.0.1:1\npeers=127.0.0.1:2, 127.0.0.1:3\n"), &s); err != nil {
		t.Fatal(err)
	}
	if s.Link.Wait != 2*time.Second || s.Limits.Requests != 100 || len(s.Link.Peers) != 2 {
		t.Fatalf("settings %+v", s)
	}
	if got := len(ushersetting.Reference(&s)); got != 4 {
		t.Fatalf("reference has %d fields, want 4", got)
	}
}

// A daemon's settings embed those that all daemons share.
func TestEmbeddedSections(t *testing.T) {
	var s struct {
		settings
		Cell struct {
			Name string `ini:"name" required:"true"`
		} `ini:"cell"`
	}
	if err := ushersetting.Parse([]byte("[link]\nlisten=127.0.0.1:1\n[cell]\nname=kochi\n"), &s); err != nil {
		t.Fatal(err)
	}
	if !s.Link.Listen.IsValid() || s.Cell.Name != "kochi" || len(ushersetting.Reference(&s)) != 5 {
		t.Fatalf("settings %+v", s)
	}
	err := ushersetting.Parse([]byte("[cell]\nname=kochi\n"), &s)
	if err == nil || !strings.Contains(err.Error(), "link.listen must be given") {
		t.Fatalf("error %v", err)
	}
}

func FuzzParse(f *testing.F) {
	for _, seed := range []string{"", "[link]\nlisten=127.0.0.1:1\n", "[link", "a=b", "[limits]\nrequests=1"} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var s settings
		if err := ushersetting.Parse(data, &s); err == nil && !s.Link.Listen.IsValid() {
			t.Fatal("accepted settings without a required key")
		}
	})
}
