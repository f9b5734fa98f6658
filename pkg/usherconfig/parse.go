package usherconfig

import (
	"cmp"
	"fmt"
	"io/fs"
	"path"
	"slices"
	"strings"
)

// maxFileBytes bounds one file of a declaration.
const maxFileBytes = 16 << 20

type (
	// Fault is a rule that a declaration breaks, and where.
	Fault struct {
		File    string `json:"file"`
		Line    int    `json:"line"`
		Section string `json:"section,omitempty"`
		Key     string `json:"key,omitempty"`
		Rule    string `json:"rule"`
	}

	// parser gathers a snapshot and its faults from the sections of all files.
	parser struct {
		snapshot   Snapshot
		faults     []Fault
		sections   map[string]sectionText // by title
		parameters []templateParameter
		values     []workspaceValues
	}

	// templateParameter is a parameter whose template may be declared further on.
	templateParameter struct {
		template  string
		parameter Parameter
	}

	// workspaceValues are values whose workspace may be declared further on.
	workspaceValues struct {
		workspace string
		section   sectionText
		values    []ParameterValue
	}
)

// Parse reads all .ini files of a directory tree as one declaration. It returns every fault, in order of place;
// the snapshot is fit for use only if there is none.
func Parse(directory fs.FS) (Snapshot, []Fault) {
	p := &parser{sections: map[string]sectionText{}}
	if err := fs.WalkDir(directory, ".", func(name string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || path.Ext(name) != ".ini" {
			return err
		}
		return p.readFile(directory, name)
	}); err != nil {
		p.faults = append(p.faults, newFault(".", 0, "", "", "cannot be read: %s", err))
	}
	p.join()
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

func (p *parser) readSection(section sectionText) {
	if other, found := p.sections[section.title]; found {
		p.report(section, "", "is declared twice, first at %s:%d", other.file, other.line)
		return
	}
	p.sections[section.title] = section
	words := strings.Fields(section.title)
	if len(words) == 0 {
		p.report(section, "", "a section has a title")
		return
	}
	kind, names := words[0], words[1:]
	want, found := sectionNames(kind)
	if !found {
		p.report(section, "", "there is no section of kind %q", kind)
		return
	}
	if len(names) != len(want) {
		p.report(section, "", "the title must be [%s]", strings.Join(append([]string{kind}, want...), " "))
		return
	}
	p.readItem(kind, names, section)
}

func (p *parser) readItem(kind string, names []string, section sectionText) {
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
		p.parameters = append(p.parameters, templateParameter{template: names[0], parameter: parameter})
	case workspaceSection:
		w := readKeys(p, section, workspaceKeys, Workspace{Name: names[0]})
		p.snapshot.Workspaces = append(p.snapshot.Workspaces, w)
	case valuesSection:
		p.readValues(names[0], names[1], section)
	}
}

func (p *parser) readValues(workspace, template string, section sectionText) {
	values := make([]ParameterValue, 0, len(section.keys))
	for _, k := range section.keys {
		values = append(values, ParameterValue{Template: template, Parameter: k.name, Value: k.value})
	}
	p.values = append(p.values, workspaceValues{workspace: workspace, section: section, values: values})
}

// readKeys sets the fields of v from the keys of a section.
func readKeys[T any](p *parser, section sectionText, keys []key[T], v T) T {
	for _, text := range section.keys {
		i := slices.IndexFunc(keys, func(k key[T]) bool { return k.name == text.name })
		if i < 0 {
			p.report(section, text.name, "there is no such key")
			continue
		}
		if err := keys[i].set(&v, text.value); err != nil {
			p.report(section, text.name, "%s", err)
		}
	}
	for _, k := range keys {
		if k.required && !section.has(k.name) {
			p.report(section, k.name, "is missing")
		}
	}
	return v
}

// join sorts all items and puts parameters and values into what they belong to.
func (p *parser) join() {
	s := &p.snapshot
	slices.SortStableFunc(s.Services, compareItems)
	slices.SortStableFunc(s.Targets, compareItems)
	slices.SortStableFunc(s.DataCentres, compareItems)
	slices.SortStableFunc(s.Hosts, compareItems)
	slices.SortStableFunc(s.Templates, compareItems)
	slices.SortStableFunc(s.Workspaces, compareItems)
	for _, owned := range p.parameters {
		i, found := searchItem(s.Templates, owned.template)
		if !found {
			section := p.sections[parameterSection+" "+owned.template+" "+owned.parameter.Name]
			p.report(section, "", "template %q is not declared", owned.template)
			continue
		}
		s.Templates[i] = s.Templates[i].WithParameter(owned.parameter)
	}
	for _, owned := range p.values {
		i, found := searchItem(s.Workspaces, owned.workspace)
		if !found {
			p.report(owned.section, "", "workspace %q is not declared", owned.workspace)
			continue
		}
		for _, v := range owned.values {
			s.Workspaces[i] = s.Workspaces[i].WithValue(v.Template, v.Parameter, v.Value)
		}
	}
}

// check adds what Check finds, unless reading has already reported that key.
func (p *parser) check() {
	if _, found := p.sections[declarationSection]; !found {
		p.faults = append(p.faults, newFault(".", 0, declarationSection, "", "is missing"))
	}
	type place struct{ section, key string }
	reported := map[place]bool{}
	for _, f := range p.faults {
		reported[place{f.Section, f.Key}] = true
	}
	for _, v := range p.snapshot.Check() {
		section, found := p.sections[v.Section]
		if found && !reported[place{v.Section, v.Key}] {
			p.report(section, v.Key, "%s", v.Rule)
		}
	}
}

func (p *parser) report(section sectionText, key, rule string, arguments ...any) {
	line := section.line
	for _, k := range section.keys {
		if k.name == key {
			line = k.line
		}
	}
	p.faults = append(p.faults, newFault(section.file, line, section.title, key, rule, arguments...))
}

func (s sectionText) has(key string) bool {
	return slices.ContainsFunc(s.keys, func(k keyText) bool { return k.name == key })
}

// withDefaultBounds fills the bounds that the section leaves out.
func (p Parameter) withDefaultBounds(section sectionText) Parameter {
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
