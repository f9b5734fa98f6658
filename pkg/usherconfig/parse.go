package usherconfig

import (
	"cmp"
	"fmt"
	"io/fs"
	"path"
	"slices"
	"strings"
)

// maxFileBytes is the maximum size of a file of a declaration.
const maxFileBytes = 16 << 20

type (
	// Fault is an error in a declaration with its location: a syntax error or a broken rule.
	Fault struct {
		File    string `json:"file"`
		Line    int    `json:"line"`
		Section string `json:"section,omitempty"`
		Key     string `json:"key,omitempty"`
		Rule    string `json:"rule"`
	}

	// parser builds a snapshot from the sections of all files and collects faults.
	parser struct {
		snapshot   Snapshot
		faults     []Fault
		sections   map[string]iniSection // by title
		parameters []pendingParameter
		values     []pendingValues
	}

	// pendingParameter is a parameter whose template may be declared later.
	pendingParameter struct {
		template  string
		parameter Parameter
	}

	// pendingValues holds values whose workspace may be declared later.
	pendingValues struct {
		workspace string
		section   iniSection
		values    []ParameterValue
	}
)

// Parse reads all .ini files of a directory tree as one declaration. It returns every fault, sorted by file and line.
// The snapshot is valid only if there are no faults.
func Parse(directory fs.FS) (Snapshot, []Fault) {
	p := &parser{sections: map[string]iniSection{}}
	if err := fs.WalkDir(directory, ".", func(name string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || path.Ext(name) != ".ini" {
			return err
		}
		return p.readFile(directory, name)
	}); err != nil {
		p.faults = append(p.faults, newFault(".", 0, "", "", "cannot be read: %s", err))
	}
	p.linkItems()
	p.check()
	slices.SortStableFunc(p.faults, func(a, b Fault) int {
		return cmp.Or(strings.Compare(a.File, b.File), cmp.Compare(a.Line, b.Line))
	})
	return p.snapshot, p.faults
}

// String returns the fault as a line such as "templates.ini:12: [template appraisal] priority: must be 0 to 9".
func (f Fault) String() string {
	text := fmt.Sprintf("%s:%d: ", f.File, f.Line)
	if f.Section != "" {
		text += "[" + f.Section + "] "
	}
	if f.Key != "" {
		text += f.Key + ": "
	}
	return text + f.Rule
}

func newFault(file string, line int, section, key, rule string, arguments ...any) Fault {
	return Fault{File: file, Line: line, Section: section, Key: key, Rule: fmt.Sprintf(rule, arguments...)}
}

func (p *parser) readFile(directory fs.FS, name string) error {
	text, err := fs.ReadFile(directory, name)
	if err != nil {
		return err
	}
	if len(text) > maxFileBytes {
		p.faults = append(p.faults, newFault(name, 0, "", "", "must be at most %d bytes", maxFileBytes))
		return nil
	}
	sections, faults := scanFile(name, string(text))
	p.faults = append(p.faults, faults...)
	for _, section := range sections {
		p.readSection(section)
	}
	return nil
}

func (p *parser) readSection(section iniSection) {
	if other, found := p.sections[section.title]; found {
		p.report(section, "", "is already declared at %s:%d", other.file, other.line)
		return
	}
	p.sections[section.title] = section
	words := strings.Fields(section.title)
	if len(words) == 0 {
		p.report(section, "", "the section title must not be empty")
		return
	}
	kind, names := words[0], words[1:]
	wantNames, found := sectionNames(kind)
	if !found {
		p.report(section, "", "unknown section kind %q", kind)
		return
	}
	if len(names) != len(wantNames) {
		p.report(section, "", "the title must be [%s]", strings.Join(append([]string{kind}, wantNames...), " "))
		return
	}
	p.readItem(kind, names, section)
}

func (p *parser) readItem(kind string, names []string, section iniSection) {
	switch kind {
	case declarationSection:
		p.snapshot = readKeys(p, section, declarationKeys, p.snapshot)
	case serviceSection:
		p.snapshot.Services = append(p.snapshot.Services, readKeys(p, section, serviceKeys, Service{Name: names[0]}))
	case targetSection:
		p.snapshot.Targets = append(p.snapshot.Targets, readKeys(p, section, targetKeys, Target{Name: names[0]}))
	case dataCentreSection:
		d := readKeys(p, section, dataCentreKeys, DataCentre{Name: names[0]})
		p.snapshot.DataCentres = append(p.snapshot.DataCentres, d)
	case hostSection:
		p.snapshot.Hosts = append(p.snapshot.Hosts, readKeys(p, section, hostKeys, Host{Name: names[0]}))
	case templateSection:
		p.snapshot.Templates = append(p.snapshot.Templates, readKeys(p, section, templateKeys, Template{Name: names[0]}))
	case parameterSection:
		parameter := readKeys(p, section, parameterKeys, Parameter{Name: names[1]})
		parameter = parameter.withDefaultBounds(section)
		p.parameters = append(p.parameters, pendingParameter{template: names[0], parameter: parameter})
	case workspaceSection:
		w := readKeys(p, section, workspaceKeys, Workspace{Name: names[0]})
		p.snapshot.Workspaces = append(p.snapshot.Workspaces, w)
	case valuesSection:
		p.readValues(names[0], names[1], section)
	}
}

func (p *parser) readValues(workspace, template string, section iniSection) {
	values := make([]ParameterValue, 0, len(section.keys))
	for _, k := range section.keys {
		values = append(values, ParameterValue{Template: template, Parameter: k.name, Value: k.value})
	}
	p.values = append(p.values, pendingValues{workspace: workspace, section: section, values: values})
}

// readKeys sets the fields of v from the keys of a section and reports unknown, malformed and missing keys.
func readKeys[T any](p *parser, section iniSection, keys []keySpec[T], v T) T {
	for _, entry := range section.keys {
		i := slices.IndexFunc(keys, func(k keySpec[T]) bool { return k.name == entry.name })
		if i < 0 {
			p.report(section, entry.name, "unknown key")
			continue
		}
		if err := keys[i].set(&v, entry.value); err != nil {
			p.report(section, entry.name, "%s", err)
		}
	}
	for _, k := range keys {
		if k.required && !section.has(k.name) {
			p.report(section, k.name, "is missing")
		}
	}
	return v
}

// linkItems sorts all items and adds parameters to their templates and values to their workspaces.
func (p *parser) linkItems() {
	s := &p.snapshot
	slices.SortStableFunc(s.Services, compareItems)
	slices.SortStableFunc(s.Targets, compareItems)
	slices.SortStableFunc(s.DataCentres, compareItems)
	slices.SortStableFunc(s.Hosts, compareItems)
	slices.SortStableFunc(s.Templates, compareItems)
	slices.SortStableFunc(s.Workspaces, compareItems)
	for _, pending := range p.parameters {
		i, found := searchItem(s.Templates, pending.template)
		if !found {
			section := p.sections[parameterSection+" "+pending.template+" "+pending.parameter.Name]
			p.report(section, "", "template %q is not declared", pending.template)
			continue
		}
		s.Templates[i] = s.Templates[i].WithParameter(pending.parameter)
	}
	for _, pending := range p.values {
		i, found := searchItem(s.Workspaces, pending.workspace)
		if !found {
			p.report(pending.section, "", "workspace %q is not declared", pending.workspace)
			continue
		}
		for _, v := range pending.values {
			s.Workspaces[i] = s.Workspaces[i].WithValue(v.Template, v.Parameter, v.Value)
		}
	}
}

// check adds the violations that Check finds, except for keys that already have a fault.
func (p *parser) check() {
	if _, found := p.sections[declarationSection]; !found {
		p.faults = append(p.faults, newFault(".", 0, declarationSection, "", "is missing"))
	}
	type location struct{ section, key string }
	reported := map[location]bool{}
	for _, f := range p.faults {
		reported[location{f.Section, f.Key}] = true
	}
	for _, v := range p.snapshot.Check() {
		section, found := p.sections[v.Section]
		if found && !reported[location{v.Section, v.Key}] {
			p.report(section, v.Key, "%s", v.Rule)
		}
	}
}

func (p *parser) report(section iniSection, key, rule string, arguments ...any) {
	line := section.line
	for _, k := range section.keys {
		if k.name == key {
			line = k.line
		}
	}
	p.faults = append(p.faults, newFault(section.file, line, section.title, key, rule, arguments...))
}

func (s iniSection) has(key string) bool {
	return slices.ContainsFunc(s.keys, func(k iniKey) bool { return k.name == key })
}

// withDefaultBounds sets the default bounds that the section does not declare.
func (p Parameter) withDefaultBounds(section iniSection) Parameter {
	switch p.Type {
	case StringParameter:
		if !section.has("max") {
			p.Max = defaultMaxStringBytes
		}
	case IntegerParameter:
		if !section.has("min") {
			p.Min = defaultMinInteger
		}
		if !section.has("max") {
			p.Max = defaultMaxInteger
		}
	}
	return p
}

func sectionNames(kind string) ([]string, bool) {
	for _, section := range Reference() {
		if section.Kind == kind {
			return section.Names, true
		}
	}
	return nil, false
}
