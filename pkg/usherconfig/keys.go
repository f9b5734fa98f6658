package usherconfig

import (
	"encoding/hex"
	"errors"
	"net/netip"
	"strconv"
	"strings"
	"time"
)

// Kinds of INI sections; a section's title is its kind and the names that follow it.
const (
	declarationSection = "declaration"
	serviceSection     = "service"
	targetSection      = "target"
	dataCentreSection  = "data_centre"
	hostSection        = "host"
	templateSection    = "template"
	parameterSection   = "parameter"
	workspaceSection   = "workspace"
	valuesSection      = "values"
)

// Bounds of a parameter for which none are declared.
const (
	defaultMaxStringBytes = 4096
	defaultMinInteger     = -1 << 31
	defaultMaxInteger     = 1<<31 - 1
)

type (
	// SectionReference lists the keys of a kind of INI section, for the reference that operators read.
	SectionReference struct {
		Kind  string
		Names []string // what follows the kind in the title
		Keys  []KeyReference
	}

	// KeyReference describes one key.
	KeyReference struct {
		Name     string
		Required bool
	}

	// key reads one INI key into a T.
	key[T any] struct {
		name     string
		required bool
		set      func(*T, string) error
	}
)

var (
	declarationKeys = []key[Snapshot]{
		{"revision", true, func(s *Snapshot, text string) (err error) {
			if s.Revision, err = strconv.ParseUint(text, 10, 64); err != nil {
				return errors.New("must be a whole number")
			}
			return nil
		}},
	}
	serviceKeys = []key[Service]{
		{"kind", true, word(func(s *Service) *ServiceKind { return &s.Kind })},
		{"model", false, word(func(s *Service) *string { return &s.Model })},
		{"adapters", false, func(s *Service, text string) error { return setList(&s.Adapters, text) }},
		{"loads_per_minute", false, integer(func(s *Service) *int { return &s.LoadsPerMinute })},
	}
	targetKeys = []key[Target]{
		{"address", true, address(func(t *Target) *netip.AddrPort { return &t.Address })},
		{"data_centre", true, word(func(t *Target) *string { return &t.DataCentre })},
		{"service", true, word(func(t *Target) *string { return &t.Service })},
		{"checks_fence", true, boolean(func(t *Target) *bool { return &t.ChecksFence })},
		{"bearable_cold_load", true, integer(func(t *Target) *int { return &t.MaxColdConcurrency })},
		{"memory_tokens", false, integer(func(t *Target) *int { return &t.MemoryTokens })},
		{"max_warm_concurrency", true, integer(func(t *Target) *int { return &t.MaxWarmConcurrency })},
		{"in_service", true, boolean(func(t *Target) *bool { return &t.InService })},
		{"role", false, word(func(t *Target) *string { return &t.Role })},
	}
	dataCentreKeys = []key[DataCentre]{
		{"region", true, word(func(d *DataCentre) *string { return &d.Region })},
		{"in_service", true, boolean(func(d *DataCentre) *bool { return &d.InService })},
	}
	hostKeys = []key[Host]{
		{"address", true, address(func(h *Host) *netip.AddrPort { return &h.Address })},
		{"data_centre", true, word(func(h *Host) *string { return &h.DataCentre })},
		{"role", true, word(func(h *Host) *Role { return &h.Role })},
		{"in_service", true, boolean(func(h *Host) *bool { return &h.InService })},
	}
	templateKeys = []key[Template]{
		{"kind", true, word(func(t *Template) *TemplateKind { return &t.Kind })},
		{"service", true, word(func(t *Template) *string { return &t.Service })},
		{"delivery", true, word(func(t *Template) *Delivery { return &t.Delivery })},
		{"idempotent", true, boolean(func(t *Template) *bool { return &t.Idempotent })},
		{"priority", true, integer(func(t *Template) *int { return &t.Priority })},
		{"max_output_tokens", false, integer(func(t *Template) *int { return &t.MaxOutputTokens })},
		{"keep_answer", false, boolean(func(t *Template) *bool { return &t.KeepAnswer })},
		{"timeout", true, duration(func(t *Template) *time.Duration { return &t.Timeout })},
		{"prompt", false, word(func(t *Template) *string { return &t.Prompt })},
	}
	parameterKeys = []key[Parameter]{
		{"type", true, word(func(p *Parameter) *ParameterType { return &p.Type })},
		{"min", false, integer(func(p *Parameter) *int { return &p.Min })},
		{"max", false, integer(func(p *Parameter) *int { return &p.Max })},
		{"values", false, func(p *Parameter, text string) error { return setEnumValues(p, text) }},
		{"default", false, func(p *Parameter, text string) error { p.Default = &text; return nil }},
		{"required", false, boolean(func(p *Parameter) *bool { return &p.Required })},
	}
	workspaceKeys = []key[Workspace]{
		{"requests_per_second", true, func(w *Workspace, text string) (err error) {
			if w.RequestsPerSecond, err = strconv.ParseFloat(text, 64); err != nil {
				return errors.New("must be a number")
			}
			return nil
		}},
		{"burst", true, integer(func(w *Workspace) *int { return &w.Burst })},
		{"weight", true, integer(func(w *Workspace) *int { return &w.Weight })},
		{"key_hash", true, func(w *Workspace, text string) error {
			hash, err := hex.DecodeString(text)
			if err != nil || len(hash) != len(w.KeyHash) {
				return errors.New("must be the SHA-256 of the workspace's key, as 64 hexadecimal digits")
			}
			w.KeyHash = KeyHash(hash)
			return nil
		}},
	}
)

// Reference returns every kind of section with its keys. The keys of a values section are a template's parameters.
func Reference() []SectionReference {
	return []SectionReference{
		{declarationSection, nil, keyReferences(declarationKeys)},
		{serviceSection, []string{"SERVICE"}, keyReferences(serviceKeys)},
		{targetSection, []string{"TARGET"}, keyReferences(targetKeys)},
		{dataCentreSection, []string{"DATA_CENTRE"}, keyReferences(dataCentreKeys)},
		{hostSection, []string{"HOST"}, keyReferences(hostKeys)},
		{templateSection, []string{"TEMPLATE"}, keyReferences(templateKeys)},
		{parameterSection, []string{"TEMPLATE", "PARAMETER"}, keyReferences(parameterKeys)},
		{workspaceSection, []string{"WORKSPACE"}, keyReferences(workspaceKeys)},
		{valuesSection, []string{"WORKSPACE", "TEMPLATE"}, nil},
	}
}

func keyReferences[T any](keys []key[T]) []KeyReference {
	references := make([]KeyReference, len(keys))
	for i, k := range keys {
		references[i] = KeyReference{Name: k.name, Required: k.required}
	}
	return references
}

func word[T any, S ~string](field func(*T) *S) func(*T, string) error {
	return func(v *T, text string) error {
		*field(v) = S(text)
		return nil
	}
}

func integer[T any](field func(*T) *int) func(*T, string) error {
	return func(v *T, text string) error {
		number, err := strconv.Atoi(text)
		if err != nil {
			return errors.New("must be a whole number")
		}
		*field(v) = number
		return nil
	}
}

func boolean[T any](field func(*T) *bool) func(*T, string) error {
	return func(v *T, text string) error {
		if text != "true" && text != "false" {
			return errors.New("must be true or false")
		}
		*field(v) = text == "true"
		return nil
	}
}

func duration[T any](field func(*T) *time.Duration) func(*T, string) error {
	return func(v *T, text string) error {
		d, err := time.ParseDuration(text)
		if err != nil {
			return errors.New("must be a duration, such as 90s or 10m")
		}
		*field(v) = d
		return nil
	}
}

func address[T any](field func(*T) *netip.AddrPort) func(*T, string) error {
	return func(v *T, text string) error {
		a, err := netip.ParseAddrPort(text)
		if err != nil {
			return errors.New("must be an IP number and a port, such as 127.0.0.1:8080")
		}
		*field(v) = a
		return nil
	}
}

func setEnumValues(p *Parameter, text string) error {
	return setList(&p.Values, text)
}

func setList(list *[]string, text string) error {
	for value := range strings.SplitSeq(text, ",") {
		value = strings.TrimSpace(value)
		if value == "" {
			return errors.New("must be values joined by commas")
		}
		*list = append(*list, value)
	}
	return nil
}
