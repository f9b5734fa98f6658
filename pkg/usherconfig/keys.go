package usherconfig

import (
	"encoding/hex"
	"errors"
	"net/netip"
	"strconv"
	"strings"
	"time"
)

// Kinds of INI sections. The title of a section consists of its kind and the names that follow it.
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

// Default bounds of a parameter.
const (
	defaultMaxStringBytes = 4096
	defaultMinInteger     = -1 << 31
	defaultMaxInteger     = 1<<31 - 1
)

type (
	// SectionReference lists the keys of a kind of INI section, for the operators' reference.
	SectionReference struct {
		Kind  string
		Names []string // placeholders of the names that follow the kind in the title
		Keys  []KeyReference
	}

	// KeyReference describes a key of an INI section.
	KeyReference struct {
		Name     string
		Required bool
	}

	// keySpec describes an INI key and sets its value in a T.
	keySpec[T any] struct {
		name     string
		required bool
		set      func(*T, string) error
	}
)

var (
	declarationKeys = []keySpec[Snapshot]{
		{"revision", true, func(s *Snapshot, text string) (err error) {
			if s.Revision, err = strconv.ParseUint(text, 10, 64); err != nil {
				return errors.New("must be an integer")
			}
			return nil
		}},
	}
	serviceKeys = []keySpec[Service]{
		{"kind", true, stringField(func(s *Service) *ServiceKind { return &s.Kind })},
		{"model", false, stringField(func(s *Service) *string { return &s.Model })},
		{"adapters", false, func(s *Service, text string) error { return setList(&s.Adapters, text) }},
		{"loads_per_minute", false, intField(func(s *Service) *int { return &s.LoadsPerMinute })},
	}
	targetKeys = []keySpec[Target]{
		{"address", true, addressField(func(t *Target) *netip.AddrPort { return &t.Address })},
		{"data_centre", true, stringField(func(t *Target) *string { return &t.DataCentre })},
		{"service", true, stringField(func(t *Target) *string { return &t.Service })},
		{"checks_fence", true, boolField(func(t *Target) *bool { return &t.ChecksFence })},
		{"bearable_cold_load", true, intField(func(t *Target) *int { return &t.MaxColdConcurrency })},
		{"memory_tokens", false, intField(func(t *Target) *int { return &t.MemoryTokens })},
		{"max_warm_concurrency", true, intField(func(t *Target) *int { return &t.MaxWarmConcurrency })},
		{"in_service", true, boolField(func(t *Target) *bool { return &t.InService })},
		{"role", false, stringField(func(t *Target) *string { return &t.Role })},
	}
	dataCentreKeys = []keySpec[DataCentre]{
		{"region", true, stringField(func(d *DataCentre) *string { return &d.Region })},
		{"in_service", true, boolField(func(d *DataCentre) *bool { return &d.InService })},
	}
	hostKeys = []keySpec[Host]{
		{"address", true, addressField(func(h *Host) *netip.AddrPort { return &h.Address })},
		{"data_centre", true, stringField(func(h *Host) *string { return &h.DataCentre })},
		{"role", true, stringField(func(h *Host) *Role { return &h.Role })},
		{"in_service", true, boolField(func(h *Host) *bool { return &h.InService })},
	}
	templateKeys = []keySpec[Template]{
		{"kind", true, stringField(func(t *Template) *TemplateKind { return &t.Kind })},
		{"service", true, stringField(func(t *Template) *string { return &t.Service })},
		{"delivery", true, stringField(func(t *Template) *Delivery { return &t.Delivery })},
		{"idempotent", true, boolField(func(t *Template) *bool { return &t.Idempotent })},
		{"priority", true, intField(func(t *Template) *int { return &t.Priority })},
		{"max_output_tokens", false, intField(func(t *Template) *int { return &t.MaxOutputTokens })},
		{"keep_answer", false, boolField(func(t *Template) *bool { return &t.KeepAnswer })},
		{"timeout", true, durationField(func(t *Template) *time.Duration { return &t.Timeout })},
		{"prompt", false, stringField(func(t *Template) *string { return &t.Prompt })},
	}
	parameterKeys = []keySpec[Parameter]{
		{"type", true, stringField(func(p *Parameter) *ParameterType { return &p.Type })},
		{"min", false, intField(func(p *Parameter) *int { return &p.Min })},
		{"max", false, intField(func(p *Parameter) *int { return &p.Max })},
		{"values", false, func(p *Parameter, text string) error { return setEnumValues(p, text) }},
		{"default", false, func(p *Parameter, text string) error { p.Default = &text; return nil }},
		{"required", false, boolField(func(p *Parameter) *bool { return &p.Required })},
	}
	workspaceKeys = []keySpec[Workspace]{
		{"requests_per_second", true, func(w *Workspace, text string) (err error) {
			if w.RequestsPerSecond, err = strconv.ParseFloat(text, 64); err != nil {
				return errors.New("must be a number")
			}
			return nil
		}},
		{"burst", true, intField(func(w *Workspace) *int { return &w.Burst })},
		{"weight", true, intField(func(w *Workspace) *int { return &w.Weight })},
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

// Reference returns every kind of section with its keys. Those of a values section are not listed, because they are the
// parameters of a template.
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

func keyReferences[T any](keys []keySpec[T]) []KeyReference {
	references := make([]KeyReference, len(keys))
	for i, k := range keys {
		references[i] = KeyReference{Name: k.name, Required: k.required}
	}
	return references
}

func stringField[T any, S ~string](field func(*T) *S) func(*T, string) error {
	return func(v *T, text string) error {
		*field(v) = S(text)
		return nil
	}
}

func intField[T any](field func(*T) *int) func(*T, string) error {
	return func(v *T, text string) error {
		number, err := strconv.Atoi(text)
		if err != nil {
			return errors.New("must be an integer")
		}
		*field(v) = number
		return nil
	}
}

func boolField[T any](field func(*T) *bool) func(*T, string) error {
	return func(v *T, text string) error {
		if text != "true" && text != "false" {
			return errors.New("must be true or false")
		}
		*field(v) = text == "true"
		return nil
	}
}

func durationField[T any](field func(*T) *time.Duration) func(*T, string) error {
	return func(v *T, text string) error {
		d, err := time.ParseDuration(text)
		if err != nil {
			return errors.New("must be a duration, such as 90s or 10m")
		}
		*field(v) = d
		return nil
	}
}

func addressField[T any](field func(*T) *netip.AddrPort) func(*T, string) error {
	return func(v *T, text string) error {
		a, err := netip.ParseAddrPort(text)
		if err != nil {
			return errors.New("must be an IP address and a port, such as 127.0.0.1:8080")
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
			return errors.New("must be a list of non-empty values separated by commas")
		}
		*list = append(*list, value)
	}
	return nil
}
