// Package usherconfig models what operators declare: services, targets, data centres, hosts, templates and workspaces.
//
// Everything here is an immutable value. A Snapshot is one whole declaration under a Revision; Parse reads it from a
// directory of INI files and reports every fault with its place, and Check applies the rules that any snapshot keeps,
// wherever it comes from. Render turns a snapshot into the key/value pairs that the operators' pipeline publishes, each
// below a megabyte. Assemble turns these back into a View, which keeps the workspaces encoded, so that tens of
// thousands of them fit a small process, and decodes those that are in use.
//
// Slices inside the values are shared between copies: read them, and use the With methods to change them.
//
// # Usage
//
//	snapshot, faults := usherconfig.Parse(os.DirFS("declarations"))
//	if len(faults) > 0 {
//		return faults
//	}
//	for _, value := range usherconfig.Render(snapshot) {
//		publish(value.Key, value.Data)
//	}
//
// In a daemon:
//
//	view, err := usherconfig.Assemble(index, shards)
//	if err != nil {
//		return err
//	}
//	call, err := view.Resolve("kochi", "appraisal", []usherconfig.Argument{{Name: "weave", Value: "kasavu"}})
package usherconfig

import (
	"net/netip"
	"slices"
	"time"
)

// Kinds of services and templates, roles of hosts, ways of delivery and types of parameters.
const (
	EngineService ServiceKind = "engine"
	PlainService  ServiceKind = "plain"

	GenerationTemplate TemplateKind = "generation"
	CallTemplate       TemplateKind = "call"

	GatewayRole   Role = "gateway"
	SchedulerRole Role = "scheduler"

	StreamDelivery Delivery = "stream"
	WholeDelivery  Delivery = "whole"

	StringParameter  ParameterType = "string"
	IntegerParameter ParameterType = "int"
	EnumParameter    ParameterType = "enum"
	BoolParameter    ParameterType = "bool"
)

type (
	// ServiceKind says whether a service is a model engine or a plain service.
	ServiceKind string
	// TemplateKind says whether a template generates text or calls a plain service.
	TemplateKind string
	// Role is the daemon that a host runs.
	Role string
	// Delivery says whether an answer is released token by token or only when it is complete.
	Delivery string
	// ParameterType is the type of a template's parameter.
	ParameterType string

	// Service is a set of targets that serve the same model or plain service.
	Service struct {
		Name string
		Kind ServiceKind
		// Model and Adapters are what the service's engines are ordered to load; an empty model orders nothing.
		Model    string
		Adapters []string
		// LoadsPerMinute bounds the orders to load, of all schedulers together, for the weight store's sake.
		LoadsPerMinute int
	}

	// Target is one replica of a service.
	Target struct {
		Name               string
		Address            netip.AddrPort
		DataCentre         string
		Service            string
		ChecksFence        bool
		MaxColdConcurrency int
		MemoryTokens       int
		MaxWarmConcurrency int
		InService          bool
		Role               string // what the engine is ordered to be; empty orders nothing
	}

	// DataCentre is a place that operators take out of service as one.
	DataCentre struct {
		Name      string
		Region    string
		InService bool
	}

	// Host is a machine that runs a daemon of the system.
	Host struct {
		Name       string
		Address    netip.AddrPort
		DataCentre string
		Role       Role
		InService  bool
	}

	// Template declares a kind of work.
	Template struct {
		Name            string
		Kind            TemplateKind
		Service         string
		Delivery        Delivery
		Idempotent      bool
		Priority        int // 0 to 9; 9 goes first
		MaxOutputTokens int
		KeepAnswer      bool
		Timeout         time.Duration
		Prompt          string
		Parameters      []Parameter // in order of name
	}

	// Parameter declares what a template accepts under one name.
	Parameter struct {
		Name     string
		Type     ParameterType
		Min      int      // least number, or least length of a string in bytes
		Max      int      // greatest number, or greatest length of a string in bytes
		Values   []string // what an enum allows
		Default  *string  // nil if there is none
		Required bool
	}

	// Workspace holds the settings of one customer.
	Workspace struct {
		Name              string
		RequestsPerSecond float64
		Burst             int
		Weight            int
		KeyHash           KeyHash
		Values            []ParameterValue // in order of template and parameter
	}

	// ParameterValue is a workspace's own value for a parameter of a template.
	ParameterValue struct {
		Template  string
		Parameter string
		Value     string
	}
)

// WithKind returns a copy of s with the kind set.
func (s Service) WithKind(kind ServiceKind) Service {
	s.Kind = kind
	return s
}

// WithModel returns a copy of s whose engines are ordered to load model and adapters.
func (s Service) WithModel(model string, adapters ...string) Service {
	s.Model, s.Adapters = model, adapters
	return s
}

// WithAddress returns a copy of t with the address set.
func (t Target) WithAddress(address netip.AddrPort) Target {
	t.Address = address
	return t
}

// WithInService returns a copy of t in or out of service.
func (t Target) WithInService(inService bool) Target {
	t.InService = inService
	return t
}

// WithInService returns a copy of d in or out of service.
func (d DataCentre) WithInService(inService bool) DataCentre {
	d.InService = inService
	return d
}

// WithInService returns a copy of h in or out of service.
func (h Host) WithInService(inService bool) Host {
	h.InService = inService
	return h
}

// WithPrompt returns a copy of t with the prompt set.
func (t Template) WithPrompt(prompt string) Template {
	t.Prompt = prompt
	return t
}

// WithParameter returns a copy of t in which p replaces the parameter of its name, or is added.
func (t Template) WithParameter(p Parameter) Template {
	t.Parameters = withItem(t.Parameters, p)
	return t
}

// Parameter returns the parameter called name.
func (t Template) Parameter(name string) (Parameter, bool) {
	return findItem(t.Parameters, name)
}

// WithDefault returns a copy of p with the default set.
func (p Parameter) WithDefault(value string) Parameter {
	p.Default = &value
	return p
}

// WithQuota returns a copy of w with another quota.
func (w Workspace) WithQuota(requestsPerSecond float64, burst int) Workspace {
	w.RequestsPerSecond, w.Burst = requestsPerSecond, burst
	return w
}

// WithValue returns a copy of w with its own value for a parameter of a template.
func (w Workspace) WithValue(template, parameter, value string) Workspace {
	v := ParameterValue{Template: template, Parameter: parameter, Value: value}
	i, found := slices.BinarySearchFunc(w.Values, v, compareParameterValues)
	values := slices.Clone(w.Values)
	if found {
		values[i] = v
	} else {
		values = slices.Insert(values, i, v)
	}
	w.Values = values
	return w
}

// Value returns the workspace's own value for a parameter of a template.
func (w Workspace) Value(template, parameter string) (string, bool) {
	v := ParameterValue{Template: template, Parameter: parameter}
	i, found := slices.BinarySearchFunc(w.Values, v, compareParameterValues)
	if !found {
		return "", false
	}
	return w.Values[i].Value, true
}

func (s Service) itemName() string    { return s.Name }
func (t Target) itemName() string     { return t.Name }
func (d DataCentre) itemName() string { return d.Name }
func (h Host) itemName() string       { return h.Name }
func (t Template) itemName() string   { return t.Name }
func (p Parameter) itemName() string  { return p.Name }
func (w Workspace) itemName() string  { return w.Name }
