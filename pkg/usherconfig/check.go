package usherconfig

import (
	"fmt"
	"net/netip"
	"strings"
	"time"

	"github.com/joomcode/errorx"
)

// Limits on declared values.
const (
	maxNameBytes         = 64
	maxPriority          = 9
	maxPromptBytes       = 64 << 10
	maxParameters        = 64
	maxEnumValues        = 256
	maxStringBytes       = 64 << 10
	maxWorkspaceBytes    = 128 << 10
	maxOutputTokensBound = 1 << 20
	maxTimeout           = 24 * time.Hour
	maxConcurrency       = 1 << 16
	maxMemoryTokens      = 1 << 30
	maxWeight            = 1000
	maxRequestsPerSecond = 1e6
	maxBurst             = 1e6
)

type (
	// Violation is a rule that a snapshot breaks, with the INI section and key that the rule applies to.
	Violation struct {
		Section string
		Key     string // empty if the rule applies to the whole section
		Rule    string
	}

	// checker collects violations.
	checker struct {
		snapshot   Snapshot
		section    string
		violations []Violation
	}
)

// String returns the violation as a line such as "[template appraisal] priority: must be 0 to 9".
func (v Violation) String() string {
	if v.Key == "" {
		return fmt.Sprintf("[%s] %s", v.Section, v.Rule)
	}
	return fmt.Sprintf("[%s] %s: %s", v.Section, v.Key, v.Rule)
}

// Check returns every violation in the snapshot. The result depends on the snapshot alone.
func (s Snapshot) Check() []Violation {
	c := &checker{snapshot: s}
	c.checkFleet()
	hashes := make(map[KeyHash]string, len(s.Workspaces))
	for _, w := range s.Workspaces {
		c.checkWorkspace(w)
		other, found := hashes[w.KeyHash]
		c.require(!found, "key_hash", "is already the key hash of workspace %q", other)
		hashes[w.KeyHash] = w.Name
	}
	return c.violations
}

// require records a violation in the current section unless ok is true.
func (c *checker) require(ok bool, key, rule string, arguments ...any) {
	if ok {
		return
	}
	c.violations = append(c.violations, Violation{Section: c.section, Key: key, Rule: fmt.Sprintf(rule, arguments...)})
}

func (c *checker) requireRange(value, low, high int, key string) {
	c.require(value >= low && value <= high, key, "must be %d to %d", low, high)
}

func (c *checker) beginSection(kind, name string) {
	c.section = kind + " " + name
	c.require(validName(name), "", "a name must have 1 to %d characters of a-z, 0-9, _ and -, and begin with a letter or digit", maxNameBytes)
}

// checkFleet checks everything but the workspaces.
func (c *checker) checkFleet() {
	c.section = declarationSection
	c.require(c.snapshot.Revision > 0, "revision", "must be 1 or more")
	for _, s := range c.snapshot.Services {
		c.beginSection(serviceSection, s.Name)
		c.require(s.Kind == EngineService || s.Kind == PlainService, "kind", "must be engine or plain")
		c.require(s.Kind == EngineService || s.Model == "" && len(s.Adapters) == 0, "model", "must not be set for a service of kind plain")
		c.require(s.Model == "" || s.LoadsPerMinute > 0, "loads_per_minute", "must be greater than 0 for a service with a model")
	}
	for _, d := range c.snapshot.DataCentres {
		c.beginSection(dataCentreSection, d.Name)
		c.require(d.Region != "", "region", "must not be empty")
	}
	addresses := map[netip.AddrPort]string{}
	for _, t := range c.snapshot.Targets {
		c.checkTarget(t)
		c.checkAddress(addresses, t.Address)
	}
	for _, h := range c.snapshot.Hosts {
		c.beginSection(hostSection, h.Name)
		c.requireDataCentre(h.DataCentre)
		c.require(h.Role == GatewayRole || h.Role == SchedulerRole, "role", "must be gateway or scheduler")
		c.checkAddress(addresses, h.Address)
	}
	for _, t := range c.snapshot.Templates {
		c.checkTemplate(t)
	}
}

func (c *checker) checkAddress(addresses map[netip.AddrPort]string, address netip.AddrPort) {
	if !address.IsValid() || address.Port() == 0 {
		c.require(false, "address", "must be an IP address and a port, such as 127.0.0.1:8080")
		return
	}
	other, found := addresses[address]
	c.require(!found, "address", "is already the address of %s", other)
	addresses[address] = c.section
}

func (c *checker) requireDataCentre(name string) {
	_, found := c.snapshot.DataCentre(name)
	c.require(found, "data_centre", "data centre %q is not declared", name)
}

func (c *checker) checkTarget(t Target) {
	c.beginSection(targetSection, t.Name)
	c.requireDataCentre(t.DataCentre)
	service, found := c.snapshot.Service(t.Service)
	c.require(found, "service", "service %q is not declared", t.Service)
	c.requireRange(t.MaxColdConcurrency, 1, maxConcurrency, "bearable_cold_load")
	c.requireRange(t.MaxWarmConcurrency, 1, maxConcurrency, "max_warm_concurrency")
	c.require(t.MaxColdConcurrency <= t.MaxWarmConcurrency, "bearable_cold_load", "must not be greater than max_warm_concurrency")
	if service.Kind == EngineService {
		c.requireRange(t.MemoryTokens, 1, maxMemoryTokens, "memory_tokens")
	} else {
		c.require(!found || t.MemoryTokens == 0, "memory_tokens", "must not be set for a target of a plain service")
	}
}

func (c *checker) checkTemplate(t Template) {
	c.beginSection(templateSection, t.Name)
	service, found := c.snapshot.Service(t.Service) // Kind is empty if the service is not found
	c.require(found, "service", "service %q is not declared", t.Service)
	c.requireRange(t.Priority, 0, maxPriority, "priority")
	c.require(t.Timeout > 0 && t.Timeout <= maxTimeout, "timeout", "must be greater than 0s and at most %s", maxTimeout)
	c.require(t.Delivery == StreamDelivery || t.Delivery == WholeDelivery, "delivery", "must be stream or whole")
	c.require(len(t.Prompt) <= maxPromptBytes, "prompt", "must be at most %d bytes long", maxPromptBytes)
	switch t.Kind {
	case GenerationTemplate:
		c.require(service.Kind != PlainService, "service", "must be of kind engine for a generation template")
		c.requireRange(t.MaxOutputTokens, 1, maxOutputTokensBound, "max_output_tokens")
		c.require(t.Prompt != "", "prompt", "must not be empty for a generation template")
	case CallTemplate:
		c.require(service.Kind != EngineService, "service", "must be of kind plain for a call template")
		c.require(t.MaxOutputTokens == 0, "max_output_tokens", "must not be set for a call template")
		c.require(t.Delivery != StreamDelivery, "delivery", "must be whole for a call template")
	default:
		c.require(false, "kind", "must be generation or call")
	}
	c.checkPrompt(t)
	c.require(len(t.Parameters) <= maxParameters, "", "must have at most %d parameters", maxParameters)
	for _, p := range t.Parameters {
		c.checkParameter(t, p)
	}
}

func (c *checker) checkPrompt(t Template) {
	parts, balanced := splitPrompt(t.Prompt)
	c.require(balanced, "prompt", "has an unbalanced brace; write {{ and }} for literal braces")
	for _, part := range parts {
		if part.placeholder != "" {
			_, found := t.Parameter(part.placeholder)
			c.require(found, "prompt", "placeholder {%s} is not a parameter of the template", part.placeholder)
		}
	}
}

func (c *checker) checkParameter(t Template, p Parameter) {
	c.section = parameterSection + " " + t.Name + " " + p.Name
	c.require(validName(p.Name), "", "a name must have 1 to %d characters of a-z, 0-9, _ and -, and begin with a letter or digit", maxNameBytes)
	switch p.Type {
	case StringParameter:
		c.requireRange(p.Min, 0, maxStringBytes, "min")
		c.requireRange(p.Max, 0, maxStringBytes, "max")
	case EnumParameter:
		c.require(len(p.Values) > 0 && len(p.Values) <= maxEnumValues, "values", "must list 1 to %d values", maxEnumValues)
	case IntegerParameter, BoolParameter:
	default:
		c.require(false, "type", "must be string, int, enum or bool")
	}
	c.require(p.Min <= p.Max, "min", "must not be greater than max")
	c.require(p.Type == EnumParameter || len(p.Values) == 0, "values", "must be set for an enum only")
	c.require(p.Default == nil || !p.Required, "default", "must not be set for a required parameter")
	if p.Default != nil {
		c.requireValidValue(t, p, "default", *p.Default)
	}
}

func (c *checker) checkWorkspace(w Workspace) {
	c.beginSection(workspaceSection, w.Name)
	c.require(w.RequestsPerSecond > 0 && w.RequestsPerSecond <= maxRequestsPerSecond, "requests_per_second",
		"must be greater than 0 and at most %d", int(maxRequestsPerSecond))
	c.requireRange(w.Burst, 1, maxBurst, "burst")
	c.requireRange(w.Weight, 1, maxWeight, "weight")
	c.require(w.KeyHash != KeyHash{}, "key_hash", "must be the SHA-256 of the workspace's key, as 64 hexadecimal digits")
	size := 0
	for _, v := range w.Values {
		size += len(v.Template) + len(v.Parameter) + len(v.Value)
		c.checkValue(w, v)
	}
	c.section = workspaceSection + " " + w.Name
	c.require(size <= maxWorkspaceBytes, "", "values must be at most %d bytes in total", maxWorkspaceBytes)
}

func (c *checker) checkValue(w Workspace, v ParameterValue) {
	c.section = valuesSection + " " + w.Name + " " + v.Template
	t, found := c.snapshot.Template(v.Template)
	if !found {
		c.require(false, "", "template %q is not declared", v.Template)
		return
	}
	p, found := t.Parameter(v.Parameter)
	if !found {
		c.require(false, v.Parameter, "template %q has no such parameter", v.Template)
		return
	}
	c.requireValidValue(t, p, v.Parameter, v.Value)
}

func (c *checker) requireValidValue(t Template, p Parameter, key, value string) {
	boundsValid := p.Min <= p.Max
	switch p.Type {
	case StringParameter, IntegerParameter, BoolParameter:
	case EnumParameter:
		boundsValid = len(p.Values) > 0
	default:
		boundsValid = false
	}
	if !boundsValid {
		return // the invalid bounds are reported as a violation of their own
	}
	if err := p.validate(t.Name, value); err != nil {
		c.require(false, key, "%s", errorx.Cast(err).Message())
	}
}

func validName(name string) bool {
	if name == "" || len(name) > maxNameBytes || strings.Trim(name[:1], "_-") == "" {
		return false
	}
	for _, c := range []byte(name) {
		if (c < 'a' || c > 'z') && (c < '0' || c > '9') && c != '_' && c != '-' {
			return false
		}
	}
	return true
}
