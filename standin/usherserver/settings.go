// Package usherserver runs stand-ins as HTTP servers: it reads their settings, listens, and shuts down on request.
//
// # Usage
//
//	standins, err := usherserver.ReadSettings("standins.ini")
//	if err != nil {
//		return err
//	}
//	return usherserver.Serve(ctx, slog.Default(), standins...)
package usherserver

import (
	"net/http"
	"os"
	"reflect"
	"strings"
	"time"

	"github.com/joomcode/errorx"
	"gopkg.in/ini.v1"

	"github.com/samphireusher/samphireusher/standin/usherengine"
	"github.com/samphireusher/samphireusher/standin/ushermodel"
	"github.com/samphireusher/samphireusher/standin/usherplain"
	"github.com/samphireusher/samphireusher/standin/usherplatform"
	"github.com/samphireusher/samphireusher/standin/usherweight"
)

// Kinds of stand-ins. The title of a settings section consists of the kind and the name of the stand-in.
const (
	KindPlatform = "platform"
	KindEngine   = "engine"
	KindPlain    = "plain"
	KindWeights  = "weights"
)

type (
	// Standin describes a stand-in to serve.
	Standin struct {
		Kind     string
		Name     string
		Settings Settings
	}

	// Settings creates the handler of a stand-in, and a function that stops its work.
	Settings interface {
		listenAddress() string
		handler() (handler http.Handler, closeStandin func(), err error)
	}

	// PlatformSettings configures a platform. Zero fields select the defaults of package usherplatform.
	PlatformSettings struct {
		Address        string        `help:"Address to listen on." default:"127.0.0.1:0"`
		CallsPerSecond int           `help:"Calls of all readers in a second."`
		HostLag        time.Duration `help:"Lag of the host list."`
		WatchTimeout   time.Duration `help:"Longest wait of a watch."`
	}

	// EngineSettings configures an engine. Zero fields select the defaults of packages usherengine and ushermodel.
	EngineSettings struct {
		Address      string        `help:"Address to listen on." default:"127.0.0.1:0"`
		Texts        string        `help:"Directory of texts that the answers are made of."`
		Model        string        `help:"Model that is loaded at the start."`
		MemoryTokens int           `help:"Memory for running generations, in tokens."`
		PrefixTokens int           `help:"Memory of the prefix cache, in tokens."`
		MaxRunning   int           `help:"Most generations in one step."`
		MaxWaiting   int           `help:"Most generations that wait."`
		Cold         bool          `help:"Start cold."`
		ColdBears    int           `help:"Generations that a cold engine bears."`
		ColdRefuses  bool          `help:"Refuse what a cold engine cannot bear instead of dying."`
		ColdSlowdown int           `help:"Factor of the step time of a cold engine."`
		WarmTokens   int           `help:"Tokens that a cold engine makes before it is warm."`
		StepBase     time.Duration `help:"Time of an empty step."`
		StepSequence time.Duration `help:"Time that each generation adds to a step."`
		ReportLag    time.Duration `help:"Age of the load reports."`
		Keep         time.Duration `help:"How long a generation without a reader is kept."`
		RestartAfter time.Duration `help:"How long the engine stays dead."`
		LoadTime     time.Duration `help:"How long loading a model takes."`
		ChecksFences bool          `help:"Refuse orders with an old fencing number."`
		LengthMu     float64       `help:"Mean of the logarithm of the lengths."`
		LengthSigma  float64       `help:"Standard deviation of the logarithm of the lengths."`
	}

	// PlainSettings configures a plain service. Zero fields select the defaults of package usherplain.
	PlainSettings struct {
		Address       string        `help:"Address to listen on." default:"127.0.0.1:0"`
		ServiceTime   time.Duration `help:"How long a call takes."`
		MaxConcurrent int           `help:"Most calls in progress."`
		RestartAfter  time.Duration `help:"How long the service stays dead."`
	}

	// WeightsSettings configures a weight store. Zero fields select the defaults of package usherweight.
	WeightsSettings struct {
		Address   string  `help:"Address to listen on." default:"127.0.0.1:0"`
		PerSecond float64 `help:"Weights that may be fetched in a second."`
		Burst     int     `help:"Weights that may be fetched at once."`
	}
)

// ReadSettings reads an INI file with a section for each stand-in, such as [engine a1]. Unknown keys are an error.
func ReadSettings(path string) ([]Standin, error) {
	file, err := ini.LoadSources(ini.LoadOptions{AllowNonUniqueSections: true}, path)
	if err != nil {
		return nil, errorx.IllegalFormat.Wrap(err, "cannot read settings %q", path)
	}
	file.NameMapper = ini.TitleUnderscore
	var standins []Standin
	names := map[string]bool{}
	for _, section := range file.Sections() {
		if section.Name() == ini.DefaultSection && len(section.Keys()) == 0 {
			continue
		}
		if names[section.Name()] {
			return nil, errorx.IllegalFormat.New("%s: duplicate section [%s]", path, section.Name())
		}
		names[section.Name()] = true
		standin, err := readSection(section)
		if err != nil {
			return nil, errorx.IllegalFormat.Wrap(err, "%s: invalid section [%s]", path, section.Name())
		}
		standins = append(standins, standin)
	}
	if len(standins) == 0 {
		return nil, errorx.IllegalFormat.New("%s: no stand-ins", path)
	}
	return standins, nil
}

func readSection(section *ini.Section) (Standin, error) {
	kind, name, named := strings.Cut(section.Name(), " ")
	if !named || strings.TrimSpace(name) == "" {
		return Standin{}, errorx.IllegalFormat.New("section needs a kind and a name, such as [engine a1]")
	}
	settings, err := newSettings(kind)
	if err != nil {
		return Standin{}, err
	}
	for _, key := range section.KeyStrings() {
		if !hasKey(settings, key) {
			return Standin{}, errorx.IllegalFormat.New("%s: unknown key", key)
		}
	}
	if err := section.StrictMapTo(settings); err != nil {
		return Standin{}, err
	}
	if settings.listenAddress() == "" {
		return Standin{}, errorx.IllegalFormat.New("address: missing")
	}
	return Standin{Kind: kind, Name: strings.TrimSpace(name), Settings: settings}, nil
}

func newSettings(kind string) (Settings, error) {
	switch kind {
	case KindPlatform:
		return &PlatformSettings{}, nil
	case KindEngine:
		return &EngineSettings{}, nil
	case KindPlain:
		return &PlainSettings{}, nil
	case KindWeights:
		return &WeightsSettings{}, nil
	}
	return nil, errorx.IllegalFormat.New("unknown kind %q", kind)
}

func hasKey(settings Settings, key string) bool {
	fields := reflect.TypeOf(settings).Elem()
	for i := range fields.NumField() {
		if ini.TitleUnderscore(fields.Field(i).Name) == key {
			return true
		}
	}
	return false
}

func (s *PlatformSettings) listenAddress() string { return s.Address }
func (s *EngineSettings) listenAddress() string   { return s.Address }
func (s *PlainSettings) listenAddress() string    { return s.Address }
func (s *WeightsSettings) listenAddress() string  { return s.Address }

func (s *PlatformSettings) handler() (http.Handler, func(), error) {
	return usherplatform.New(usherplatform.Config{
		CallsPerSecond: s.CallsPerSecond,
		HostLag:        s.HostLag,
		WatchTimeout:   s.WatchTimeout,
	}), func() {}, nil
}

func (s *EngineSettings) handler() (http.Handler, func(), error) {
	config := usherengine.Config{
		Options: ushermodel.Options{
			MemoryTokens: s.MemoryTokens,
			PrefixTokens: s.PrefixTokens,
			MaxRunning:   s.MaxRunning,
			Cold:         s.Cold,
			ColdCapacity: s.ColdBears,
			ColdSlowdown: s.ColdSlowdown,
			WarmTokens:   s.WarmTokens,
			StepBase:     s.StepBase,
			StepSequence: s.StepSequence,
		},
		Model:          s.Model,
		Incarnation:    time.Now().UnixMilli(),
		MaxWaiting:     s.MaxWaiting,
		RefuseWhenCold: s.ColdRefuses,
		ReportLag:      s.ReportLag,
		Retention:      s.Keep,
		RestartAfter:   s.RestartAfter,
		LoadTime:       s.LoadTime,
		EnforceFencing: s.ChecksFences,
		LengthMu:       s.LengthMu,
		LengthSigma:    s.LengthSigma,
	}
	if s.Texts != "" {
		texts, err := usherengine.ReadTexts(os.DirFS(s.Texts), ".")
		if err != nil {
			return nil, nil, err
		}
		config.Texts = texts
	}
	engine := usherengine.New(config)
	return engine, engine.Close, nil
}

func (s *PlainSettings) handler() (http.Handler, func(), error) {
	return usherplain.New(usherplain.Config{
		Incarnation:   time.Now().UnixMilli(),
		ServiceTime:   s.ServiceTime,
		MaxConcurrent: s.MaxConcurrent,
		RestartAfter:  s.RestartAfter,
	}), func() {}, nil
}

func (s *WeightsSettings) handler() (http.Handler, func(), error) {
	return usherweight.New(usherweight.Config{PerSecond: s.PerSecond, Burst: s.Burst}), func() {}, nil
}
