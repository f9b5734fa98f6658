package usherproof_test

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/samphireusher/samphireusher/pkg/usherconfig"
	"github.com/samphireusher/samphireusher/pkg/ushersetting"
	"github.com/samphireusher/samphireusher/service/usherdaemon"
)

const repositoryRoot = ".."

// placeholder matches a variable in the templates of the demo's settings.
var placeholder = regexp.MustCompile(`@[A-Z_]+@`)

// daemonSettings holds the values that are filled into the settings template of a demo daemon.
type daemonSettings struct {
	name, dataCentre, address, admin, platform, directory string
	seeds                                                 []string
}

// fill replaces the variables in a settings template.
func (s daemonSettings) fill(template string) string {
	return strings.NewReplacer(
		"@NAME@", s.name, "@DATA_CENTRE@", s.dataCentre, "@ADDRESS@", s.address, "@ADMIN@", s.admin, "@PLATFORM@", s.platform,
		"@SEEDS@", strings.Join(s.seeds, ", "), "@DIRECTORY@", s.directory,
	).Replace(template)
}

// TestSettingsOfProcessesAreComplete finds invalid settings templates early: the daemons that the TestProcesses tests
// start exit at once if their settings are invalid, and these tests are only run by hand.
func TestSettingsOfProcessesAreComplete(t *testing.T) {
	s := daemonSettings{
		name: "kochi-1", dataCentre: "kochi", address: "127.0.0.1:21201", admin: "127.0.0.1:21301", platform: "127.0.0.1:21000",
		directory: t.TempDir(), seeds: []string{"127.0.0.1:21201", "127.0.0.1:21204"},
	}
	for role, into := range map[usherconfig.Role]ushersetting.Checker{
		usherconfig.GatewayRole: new(usherdaemon.GatewaySettings), usherconfig.SchedulerRole: new(usherdaemon.SchedulerSettings),
	} {
		template, err := os.ReadFile(filepath.Join(repositoryRoot, "_fixtures/demo", string(role)+".ini"))
		if err != nil {
			t.Fatal(err)
		}
		filled := s.fill(string(template))
		if left := placeholder.FindString(filled); left != "" {
			t.Errorf("%s: %s has not been replaced", role, left)
		}
		if err := ushersetting.Parse([]byte(filled), into); err != nil {
			t.Errorf("%s: %v", role, err)
		}
	}
}
