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

const repository = ".."

// placeholder is a name in the templates of the demo's settings.
var placeholder = regexp.MustCompile(`@[A-Z_]+@`)

// daemonSettings is what the settings of a daemon of the demo are made of.
type daemonSettings struct {
	name, dataCentre, address, admin, platform, directory string
	seeds                                                 []string
}

// fill puts values into a template of the demo's settings.
func (s daemonSettings) fill(template string) string {
	return strings.NewReplacer(
		"@NAME@", s.name, "@DATA_CENTRE@", s.dataCentre, "@ADDRESS@", s.address, "@ADMIN@", s.admin, "@PLATFORM@", s.platform,
		"@SEEDS@", strings.Join(s.seeds, ", "), "@DIRECTORY@", s.directory,
	).Replace(template)
}

// The processes that TestProcesses starts end at once where their settings have a fault, and that test is run by hand.
func TestSettingsOfProcessesAreComplete(t *testing.T) {
	s := daemonSettings{
		name: "kochi-1", dataCentre: "kochi", address: "127.0.0.1:21201", admin: "127.0.0.1:21301", platform: "127.0.0.1:21000",
		directory: t.TempDir(), seeds: []string{"127.0.0.1:21201", "127.0.0.1:21204"},
	}
	for role, into := range map[usherconfig.Role]ushersetting.Checker{
		usherconfig.GatewayRole: new(usherdaemon.GatewaySettings), usherconfig.SchedulerRole: new(usherdaemon.SchedulerSettings),
	} {
		template, err := os.ReadFile(filepath.Join(repository, "_fixtures/demo", string(role)+".ini"))
		if err != nil {
			t.Fatal(err)
		}
		filled := s.fill(string(template))
		if left := placeholder.FindString(filled); left != "" {
			t.Errorf("%s: %s is not filled in", role, left)
		}
		if err := ushersetting.Parse([]byte(filled), into); err != nil {
			t.Errorf("%s: %v", role, err)
		}
	}
}
