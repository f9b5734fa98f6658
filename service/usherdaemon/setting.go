package usherdaemon

import (
	"log/slog"
	"net/netip"
	"os"
	"time"

	"github.com/samphireusher/samphireusher/pkg/usherkey"
)

type (
	// Common holds the settings that all daemons have.
	Common struct {
		Process struct {
			Name       string `ini:"name" required:"true" usage:"name of this process, as the declarations' hosts have it"`
			DataCentre string `ini:"data_centre" required:"true" usage:"data centre that this process runs in"`
		} `ini:"process"`
		Listen struct {
			Address netip.AddrPort `ini:"address" required:"true" usage:"IP number and port: UDP for other processes and, at gateways, TCP for callers"`
			Admin   netip.AddrPort `ini:"admin" required:"true" usage:"IP number and TCP port of dump and metrics"`
		} `ini:"listen"`
		Keys struct {
			Certificate string `ini:"certificate" required:"true" usage:"file with this process's certificate in PEM"`
			Key         string `ini:"key" required:"true" usage:"file with its private key in PEM"`
			Authorities string `ini:"authorities" required:"true" usage:"file with the certificates of the fleet's authorities in PEM"`
		} `ini:"keys"`
		Platform struct {
			Address netip.AddrPort   `ini:"address" required:"true" usage:"IP number and port of the configuration service"`
			Seeds   []netip.AddrPort `ini:"seeds" usage:"addresses of processes to ask for a configuration at a start"`
		} `ini:"platform"`
		Log struct {
			Level string `ini:"level" default:"info" usage:"debug, info, warn or error"`
		} `ini:"log"`
		Stop struct {
			Timeout time.Duration `ini:"timeout" default:"30m" usage:"longest time that a planned stop waits for requests in progress"`
		} `ini:"stop"`
	}

	// GatewaySettings holds the settings of usher-gateway.
	GatewaySettings struct {
		Common
		Secret struct {
			Current  string `ini:"current" required:"true" usage:"file with the fleet secret that signs request ids and handles"`
			Accepted string `ini:"accepted" usage:"file with another fleet secret that is accepted too, while secrets rotate"`
		} `ini:"secret"`
		Callers struct {
			Certificate string `ini:"certificate" usage:"file with the certificate shown to callers in PEM; without it callers speak plain HTTP"`
			Key         string `ini:"key" usage:"file with its private key in PEM"`
		} `ini:"callers"`
		Limits struct {
			Requests     int `ini:"requests" default:"20000" usage:"most requests in progress"`
			BodyBytes    int `ini:"body_bytes" default:"1048576" usage:"largest body of a caller's request in bytes"`
			KeptOutcomes int `ini:"kept_outcomes" default:"50000" usage:"most outcomes kept for callers that ask later"`
		} `ini:"limits"`
	}

	// SchedulerSettings holds the settings of usher-scheduler.
	SchedulerSettings struct {
		Common
		Cell struct {
			ByDataCentre bool          `ini:"by_data_centre" default:"false" usage:"schedulers of one data centre form a cell; otherwise all are one cell"`
			ReportLag    time.Duration `ini:"report_lag" default:"1s" usage:"longest delay of a target's load report that does not tell its age"`
		} `ini:"cell"`
	}
)

// Check implements ushersetting.Checker.
func (c *Common) Check() []string {
	problems := []string{}
	var level slog.Level
	if err := level.UnmarshalText([]byte(c.Log.Level)); err != nil {
		problems = append(problems, "log.level must be debug, info, warn or error")
	}
	if c.Listen.Address == c.Listen.Admin {
		problems = append(problems, "listen.address and listen.admin must differ")
	}
	if c.Listen.Address.Addr().IsUnspecified() || c.Listen.Address.Port() == 0 {
		problems = append(problems, "listen.address must be an IP address and a port to which other processes can connect")
	}
	return problems
}

// Check implements ushersetting.Checker.
func (s *GatewaySettings) Check() []string {
	problems := s.Common.Check()
	for _, limit := range []struct {
		name  string
		value int
	}{{"requests", s.Limits.Requests}, {"body_bytes", s.Limits.BodyBytes}, {"kept_outcomes", s.Limits.KeptOutcomes}} {
		if limit.value < 1 {
			problems = append(problems, "limits."+limit.name+" must be at least 1")
		}
	}
	return problems
}

// Check implements ushersetting.Checker.
func (s *SchedulerSettings) Check() []string {
	return s.Common.Check()
}

func (c *Common) files() usherkey.Files {
	return usherkey.Files{Certificate: c.Keys.Certificate, Key: c.Keys.Key, Authorities: c.Keys.Authorities}
}

// logger returns a logger that writes JSON lines to standard error.
func (c *Common) logger() *slog.Logger {
	var level slog.Level
	if err := level.UnmarshalText([]byte(c.Log.Level)); err != nil {
		level = slog.LevelInfo
	}
	handler := slog.NewJSONHandler(os.Stderr, &slog.HandlerOptions{Level: level})
	return slog.New(handler).With("process", c.Process.Name, "data_centre", c.Process.DataCentre)
}
