package usherhost

import (
	"log/slog"
	"math"
	"net/netip"
	"os"
	"time"

	"github.com/samphireusher/samphireusher/pkg/ushercluster"
	"github.com/samphireusher/samphireusher/pkg/ushersetting"
)

type (
	// responseLimits bound what is accepted of a target's response.
	responseLimits struct {
		HeaderBytes int           `ini:"header_bytes" default:"65536" usage:"size of the header of a target's answer"`
		HeaderTime  time.Duration `ini:"header_time" default:"2s" usage:"time in which a header has to come once it has begun"`
		StrayBytes  int           `ini:"stray_bytes" default:"262144" usage:"bytes before the answer that belong to no request or to another"`
		HeldBytes   int           `ini:"held_bytes" default:"262144" usage:"part of an answer that is held in memory; what is larger is passed on as it comes"`
		BodyBytes   int           `ini:"body_bytes" default:"1073741824" usage:"size of the body of an answer that is passed on as it comes"`
	}
)

// Settings are the settings of usher-host.
type Settings struct {
	Process struct {
		Name       string `ini:"name" required:"true" usage:"name of this host"`
		DataCentre string `ini:"data_centre" required:"true" usage:"data centre that this host is in"`
		FirstStart bool   `ini:"first_start" default:"false" usage:"whether the whole fleet starts for the first time"`
	} `ini:"process"`
	Listen struct {
		Callers netip.AddrPort `ini:"callers" required:"true" usage:"IP number and TCP port for callers' requests"`
		Ready   netip.AddrPort `ini:"ready" required:"true" usage:"IP number and TCP port where the platform asks whether this host takes requests"`
		Locate  netip.AddrPort `ini:"locate" required:"true" usage:"IP number and TCP port where callers ask which hosts to use"`
		Admin   netip.AddrPort `ini:"admin" required:"true" usage:"IP number and TCP port of dump and metrics"`
		Metrics netip.AddrPort `ini:"metrics" usage:"IP number and TCP port of metrics alone, for who may not read the dump"`
		Peers   netip.AddrPort `ini:"peers" required:"true" usage:"IP number and port, UDP and TCP, for other hosts; the port is the same on all hosts"`
	} `ini:"listen"`
	Cluster struct {
		Seeds []netip.AddrPort `ini:"seeds" usage:"addresses of hosts to meet the others through; only the IP numbers count"`
	} `ini:"cluster"`
	Store struct {
		Address netip.AddrPort `ini:"address" required:"true" usage:"IP number and TCP port of the platform's store"`
	} `ini:"store"`
	Limits struct {
		MemoryMegabytes int `ini:"memory_megabytes" default:"0" usage:"memory that this process may use; 0 for no limit"`
	} `ini:"limits"`
	Capacity struct {
		Processors     float64 `ini:"processors" default:"1" usage:"processors of this host, in those of the usual speed"`
		ProcessorShare float64 `ini:"processor_share" default:"0" usage:"part of their time that this process may use; 0 if not named"`
		LinkMbps       float64 `ini:"link_mbps" default:"0" usage:"bandwidth of this host's link in Mbit/s; 0 if not named"`
	} `ini:"capacity"`
	Retries struct {
		Ratio     float64       `ini:"ratio" default:"0.2" usage:"repeated sends allowed for each request of a service, over all hosts"`
		Allowance float64       `ini:"allowance" default:"50" usage:"repeated sends allowed beyond that in each window, over all hosts"`
		Window    time.Duration `ini:"window" default:"10s" usage:"length of the window"`
	} `ini:"retries"`
	Answers  responseLimits `ini:"answers"`
	Prefixes struct {
		Weigh bool `ini:"weigh" default:"false" usage:"whether targets that may still hold the beginning of a prompt are preferred by the time that it saves"`
	} `ini:"prefixes"`
	Stop struct {
		Grace time.Duration `ini:"grace" default:"8s" usage:"time between SIGTERM and SIGKILL"`
	} `ini:"stop"`
	Log struct {
		Level string `ini:"level" default:"info" usage:"debug, info, warn or error"`
	} `ini:"log"`
}

const (
	megabyte = 1 << 20
	// maxAmount bounds the values of the capacity section.
	maxAmount = 1e6
)

// LoadSettings reads and checks the settings file at path.
func LoadSettings(path string) (*Settings, error) {
	var s Settings
	if err := ushersetting.Load(path, &s); err != nil {
		return nil, err
	}
	return &s, nil
}

// Check returns a description of each rule that the settings break.
func (s *Settings) Check() []string {
	var problems []string
	if s.Retries.Ratio < 0 || s.Retries.Allowance < 0 || s.Retries.Window <= 0 {
		problems = append(problems, "retries: ratio and allowance must not be negative, and window must be above zero")
	}
	if c := s.Capacity; !isAmount(c.Processors) || !isAmount(c.ProcessorShare) || !isAmount(c.LinkMbps) {
		problems = append(problems, "capacity: no value may be negative or above a million")
	}
	if a := s.Answers; a.HeaderBytes <= 0 || a.HeaderTime <= 0 || a.StrayBytes <= 0 || a.HeldBytes <= 0 || a.BodyBytes < a.HeldBytes {
		problems = append(problems, "answers: all bounds must be above zero, and body_bytes not below held_bytes")
	}
	if s.Stop.Grace <= 0 {
		problems = append(problems, "stop.grace must be above zero")
	}
	if err := new(slog.Level).UnmarshalText([]byte(s.Log.Level)); err != nil {
		problems = append(problems, "log.level must be debug, info, warn or error")
	}
	return problems
}

// isAmount reports whether a value is a plain quantity; NaN is none.
func isAmount(v float64) bool { return v >= 0 && v <= maxAmount }

// capacity returns what this host tells others of its capacity.
func (s *Settings) capacity() ushercluster.Capacity {
	return ushercluster.Capacity{
		MilliCores: uint32(min(math.Round(1000*s.Capacity.ProcessorShare*s.Capacity.Processors), math.MaxUint32)),
		LinkMbps:   uint32(math.Round(s.Capacity.LinkMbps)),
	}
}

// seeds returns the addresses at which peers listen on the seed hosts, without this host's own.
func (s *Settings) seeds() []netip.AddrPort {
	seeds := make([]netip.AddrPort, 0, len(s.Cluster.Seeds))
	for _, a := range s.Cluster.Seeds {
		if seed := netip.AddrPortFrom(a.Addr(), s.Listen.Peers.Port()); seed != s.Listen.Peers {
			seeds = append(seeds, seed)
		}
	}
	return seeds
}

// level returns the log level, which Check has validated.
func (s *Settings) level() slog.Level {
	var level slog.Level
	if err := level.UnmarshalText([]byte(s.Log.Level)); err != nil {
		return slog.LevelInfo
	}
	return level
}

// NewLogger returns the logger of a process with these settings.
func (s *Settings) NewLogger(lines *LogWriter) *slog.Logger {
	return slog.New(slog.NewJSONHandler(lines, &slog.HandlerOptions{Level: s.level()})).With("host", s.Process.Name, "pid", os.Getpid())
}
