package usherdaemon_test

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/samphireusher/samphireusher/pkg/usherkey"
	"github.com/samphireusher/samphireusher/pkg/ushersetting"
	"github.com/samphireusher/samphireusher/service/usherdaemon"
)

const (
	common = `
[process]
name = kochi-1
data_centre = kochi
[listen]
address = 127.0.0.1:7401
admin = 127.0.0.1:7402
[keys]
certificate = kochi-1.pem
key = kochi-1.key
authorities = authority.pem
[platform]
address = 127.0.0.1:7000
`
	secret = "[secret]\ncurrent = fleet.secret\n"
)

type runFunc func(ctx context.Context, path string, checkOnly bool) error

func TestSettings(t *testing.T) {
	without := func(text, line string) string { return strings.Replace(text, line+"\n", "", 1) }
	changed := func(text, from, to string) string { return strings.Replace(text, from, to, 1) }
	tests := []struct {
		name       string
		run        runFunc
		text       string
		wantErrors []string
	}{
		{"gateway", usherdaemon.RunGateway, common + secret, nil},
		{"scheduler", usherdaemon.RunScheduler, common, nil},
		{"all keys of a gateway", usherdaemon.RunGateway, common + "seeds = 127.0.0.1:7403, 127.0.0.1:7404\n" + secret +
			"accepted = old.secret\n[limits]\nrequests = 10\nbody_bytes = 10\nkept_outcomes = 10\n[log]\nlevel = debug\n[stop]\ntimeout = 1h\n", nil},
		{"all keys of a scheduler", usherdaemon.RunScheduler, common + "[cell]\nby_data_centre = true\nreport_lag = 2s\n", nil},
		{"empty", usherdaemon.RunScheduler, "", []string{
			"process.name must be given", "process.data_centre must be given", "listen.address must be given", "listen.admin must be given",
			"keys.certificate must be given", "keys.key must be given", "keys.authorities must be given", "platform.address must be given"}},
		{"no secret", usherdaemon.RunGateway, common, []string{"secret.current must be given"}},
		{"no name", usherdaemon.RunGateway, without(common, "name = kochi-1") + secret, []string{"process.name must be given"}},
		{"secret at a scheduler", usherdaemon.RunScheduler, common + secret, []string{"unknown section [secret]"}},
		{"cell at a gateway", usherdaemon.RunGateway, common + secret + "[cell]\nreport_lag = 1s\n", []string{"unknown section [cell]"}},
		{"unknown key", usherdaemon.RunScheduler, common + "adress = 127.0.0.1:1\n", []string{"unknown key platform.adress"}},
		{"host name", usherdaemon.RunScheduler, changed(common, "127.0.0.1:7000", "platform:7000"), []string{`platform.address = "platform:7000" is not a valid address`}},
		{"no port", usherdaemon.RunScheduler, changed(common, "127.0.0.1:7402", "127.0.0.1"), []string{`listen.admin = "127.0.0.1" is not a valid address`}},
		{"one address for both", usherdaemon.RunScheduler, changed(common, "7402", "7401"), []string{"listen.address and listen.admin must differ"}},
		{"wildcard", usherdaemon.RunScheduler, changed(common, "127.0.0.1:7401", "0.0.0.0:7401"), []string{"listen.address must be an IP address and a port"}},
		{"port 0", usherdaemon.RunScheduler, changed(common, ":7401", ":0"), []string{"listen.address must be an IP address and a port"}},
		{"seeds", usherdaemon.RunScheduler, common + "seeds = 127.0.0.1:1, kochi\n", []string{"platform.seeds"}},
		{"level", usherdaemon.RunScheduler, common + "[log]\nlevel = loud\n", []string{"log.level must be debug, info, warn or error"}},
		{"timeout", usherdaemon.RunScheduler, common + "[stop]\ntimeout = soon\n", []string{`stop.timeout = "soon" is not a valid duration`}},
		{"negative lag", usherdaemon.RunScheduler, common + "[cell]\nreport_lag = -1s\n", []string{"cell.report_lag"}},
		{"invalid bool", usherdaemon.RunScheduler, common + "[cell]\nby_data_centre = perhaps\n", []string{`cell.by_data_centre = "perhaps" is not a valid bool`}},
		{"limits", usherdaemon.RunGateway, common + secret + "[limits]\nrequests = 0\nbody_bytes = -1\nkept_outcomes = 0\n", []string{
			"limits.requests must be at least 1", "limits.body_bytes must be at least 1", "limits.kept_outcomes must be at least 1"}},
		{"not INI", usherdaemon.RunScheduler, "[process\n", []string{"the settings are not valid INI"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "settings.ini")
			if err := os.WriteFile(path, []byte(test.text), 0o600); err != nil {
				t.Fatal(err)
			}
			err := test.run(t.Context(), path, true)
			if len(test.wantErrors) == 0 {
				if err != nil {
					t.Fatal(err)
				}
				return
			}
			if err == nil {
				t.Fatal("invalid settings were accepted")
			}
			for _, wantError := range append(test.wantErrors, path) {
				if !strings.Contains(err.Error(), wantError) {
					t.Errorf("error %q does not contain %q", err, wantError)
				}
			}
		})
	}
}

// TestKeyFiles checks the errors for valid settings that name missing or invalid files.
func TestKeyFiles(t *testing.T) {
	directory := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(directory, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	short := write("short.secret", "too short\n")
	foreign := common
	for _, file := range writeKeys(t, directory, "thrissur-1") {
		foreign = strings.Replace(foreign, file.from, file.to, 1)
	}
	good := write("fleet.secret", "a secret of enough bytes\n")
	tests := []struct {
		name, text, current, accepted, wantError string
	}{
		{"no secret", common, filepath.Join(directory, "missing"), "", "missing"},
		{"short secret", common, short, "", "needs 16"},
		{"short accepted secret", common, good, short, "needs 16"},
		{"no certificate", common, good, good, "kochi-1.pem"},
		{"certificate of another", foreign, good, good, `process.name is "kochi-1", but the certificate in keys.certificate is that of "thrissur-1"`},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			text := test.text + "[secret]\ncurrent = " + test.current + "\naccepted = " + test.accepted + "\n"
			err := usherdaemon.RunGateway(t.Context(), write("settings.ini", text), false)
			if err == nil || !strings.Contains(err.Error(), test.wantError) {
				t.Errorf("error %v does not contain %q", err, test.wantError)
			}
		})
	}
}

type replacement struct{ from, to string }

// writeKeys writes the key files of the process with the given name. It returns the replacements to make in settings that
// name the files of kochi-1.
func writeKeys(t *testing.T, directory, name string) []replacement {
	t.Helper()
	authority, err := usherkey.NewAuthority(time.Now(), time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	pair, err := authority.Issue(name, time.Now(), time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	replacements := []replacement{}
	for file, data := range map[string][]byte{"kochi-1.pem": pair.Certificate, "kochi-1.key": pair.Key, "authority.pem": authority.Certificate} {
		path := filepath.Join(directory, file)
		if err := os.WriteFile(path, data, 0o600); err != nil {
			t.Fatal(err)
		}
		replacements = append(replacements, replacement{"= " + file, "= " + path})
	}
	return replacements
}

// TestPageNamesEachSetting checks that the settings tables in the operators' documentation match the code.
func TestPageNamesEachSetting(t *testing.T) {
	page, err := os.ReadFile("../../docs/operators/settings.md")
	if err != nil {
		t.Fatal(err)
	}
	commonFields := ushersetting.Reference(&usherdaemon.Common{})
	gateway := ushersetting.Reference(&usherdaemon.GatewaySettings{})
	scheduler := ushersetting.Reference(&usherdaemon.SchedulerSettings{})
	for heading, fields := range map[string][]ushersetting.Field{
		"## Every daemon": commonFields, "## usher-gateway": gateway[len(commonFields):], "## usher-scheduler": scheduler[len(commonFields):],
	} {
		want := "| setting | type | default | what it is |\n|---|---|---|---|\n"
		for _, field := range fields {
			want += row(field)
		}
		_, section, _ := strings.Cut(string(page), heading+"\n")
		section, _, _ = strings.Cut(section, "\n## ")
		if at := strings.Index(section, "| "); at < 0 || strings.TrimSpace(tableOf(section[at:])) != strings.TrimSpace(want) {
			t.Errorf("the table under %q should be:\n%s", heading, want)
		}
	}
}

func row(field ushersetting.Field) string {
	value := "`" + field.Default + "`"
	switch {
	case field.Required:
		value = "must be given"
	case field.Default == "":
		value = "none"
	}
	return "| `" + field.Section + "." + field.Key + "` | " + field.Type + " | " + value + " | " + field.Usage + " |\n"
}

// tableOf returns the table rows at the beginning of text.
func tableOf(text string) string {
	table := ""
	for line := range strings.Lines(text) {
		if !strings.HasPrefix(line, "|") {
			break
		}
		table += line
	}
	return table
}
