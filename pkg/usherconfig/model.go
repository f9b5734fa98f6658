// Package usherconfig models the declared configuration: services, targets, data centres, hosts, templates and
// workspaces.
//
// All types are immutable values. A Snapshot is a complete declaration under one revision. Parse reads it from a
// directory of INI files and reports every fault with its file and line. Check applies the rules that hold for every
// snapshot, whatever its source. Render encodes a snapshot into the key/value pairs that the operators' pipeline
// publishes, each smaller than a megabyte. Assemble decodes these into a View, which keeps workspaces encoded and
// decodes them on use, so that tens of thousands of them fit into the memory of a small process.
//
// Copies of a value share its slices. Treat the slices as read-only and use the With methods to change them.
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
//	request, err := view.Resolve("kochi", "appraisal", []usherconfig.Argument{{Name: "weave", Value: "kasavu"}})
package usherconfig

import (
	"net/netip"
	"slices"
	"time"
)

// Kinds of services and templates, roles of hosts, modes of delivery and types of parameters.
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
	// ServiceKind distinguishes model engines from plain services.
	ServiceKind string
	// TemplateKind distinguishes templates that generate text from those that call a plain service.
	TemplateKind string
	// Role selects the daemon that a host runs.
	Role string
	// Delivery selects whether an answer is streamed token by token or sent only when it is complete.
	Delivery string
	// ParameterType is the type of a template parameter.
	ParameterType string

	// Service is a set of targets that serve the same model or plain service.
	Service struct {
		Name string
		Kind ServiceKind
		// Model and Adapters are what the engines of the service are ordered to load. If Model is empty, no order to
		// load a model is sent.
		Model    string
		Adapters []string
		// LoadsPerMinute limits the orders to load that all schedulers together send per minute, to protect the
		// weight store.
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
		Role               string // role that the engine is ordered to take; if empty, no order is sent
	}

	// DataCentre is a data centre, which operators can take out of service as a whole.
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

	// Template declares a type of request.
	Template struct {
		Name            string
		Kind            TemplateKind
		Service         string
		Delivery        Delivery
		Idempotent      bool
		Priority        int // 0 to 9; 9 is the highest
		MaxOutputTokens int
		KeepAnswer      bool
		Timeout         time.Duration
		Prompt          string
		Parameters      []Parameter // sorted by name
	}

	// Parameter declares one parameter of a template and the values that it accepts.
	Parameter struct {
		Name     string
		Type     ParameterType
		Min      int      // minimum number, or minimum length of a string in bytes
		Max      int      // maximum number, or maximum length of a string in bytes
		Values   []string // allowed values of an enum
		Default  *string  // nil if there is no default
		Required bool
	}

	// Workspace holds the settings of one customer (tenant).
	Workspace struct {
		Name              string
		RequestsPerSecond float64
		Burst             int
		Weight            int
		KeyHash           KeyHash
		Values            []ParameterValue // sorted by template and parameter
	}

	// ParameterValue overrides the default of a template parameter in one workspace.
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

// WithParameter returns a copy of t with p added. It replaces a parameter of the same name.
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

// WithValue returns a copy of w that overrides the value of a template parameter.
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

// Value returns the value with which the workspace overrides a template parameter.
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
