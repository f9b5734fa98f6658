package usherconfig

import (
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

type (
	// Argument is the value of a parameter, either from a request or after resolution.
	Argument struct {
		Name  string
		Value string
	}

	// ResolvedRequest is a request resolved against one revision of the configuration.
	ResolvedRequest struct {
		Revision  uint64
		Workspace Workspace
		Template  Template
		Arguments []Argument // sorted by name, with defaults filled in
		Prompt    string
	}
)

// Resolve validates a request against the snapshot and fills in values that the request omits.
func (s Snapshot) Resolve(workspace, template string, arguments []Argument) (ResolvedRequest, error) {
	w, found := s.Workspace(workspace)
	if !found {
		return ResolvedRequest{}, ErrNoWorkspace.New("workspace %q is not declared", workspace)
	}
	return s.resolveIn(w, template, arguments)
}

// ContentHash returns a hash of workspace, template and arguments. Repetitions of a request have the same hash.
func (r ResolvedRequest) ContentHash() uint64 {
	hash := xxhash.New()
	write := func(text string) {
		hash.WriteString(strconv.Itoa(len(text)))
		hash.WriteString(":")
		hash.WriteString(text)
	}
	write(r.Workspace.Name)
	write(r.Template.Name)
	for _, a := range r.Arguments {
		write(a.Name)
		write(a.Value)
	}
	return hash.Sum64()
}

func (s Snapshot) resolveIn(w Workspace, template string, arguments []Argument) (ResolvedRequest, error) {
	t, found := s.Template(template)
	if !found {
		return ResolvedRequest{}, ErrNoTemplate.New("template %q is not declared", template)
	}
	resolved, err := t.resolve(w, arguments)
	if err != nil {
		return ResolvedRequest{}, err
	}
	return ResolvedRequest{
		Revision: s.Revision, Workspace: w, Template: t, Arguments: resolved, Prompt: expandPrompt(t.Prompt, resolved),
	}, nil
}

// resolve takes the value of each parameter from the request, the workspace or the default, in this order.
func (t Template) resolve(w Workspace, arguments []Argument) ([]Argument, error) {
	given := slices.SortedStableFunc(slices.Values(arguments), func(a, b Argument) int {
		return strings.Compare(a.Name, b.Name)
	})
	for i, a := range given {
		if i > 0 && given[i-1].Name == a.Name {
			return nil, ErrRepeatedParameter.New("template %q: parameter %q is set more than once", t.Name, a.Name)
		}
		if _, found := t.Parameter(a.Name); !found {
			return nil, ErrUnknownParameter.New("template %q has no parameter %q", t.Name, a.Name)
		}
	}
	resolved := make([]Argument, 0, len(t.Parameters))
	for _, p := range t.Parameters {
		value, found := t.resolveValue(p, w, given)
		if !found && p.Required {
			return nil, ErrMissingParameter.New("template %q: parameter %q is required", t.Name, p.Name)
		}
		if !found {
			continue
		}
		if err := p.validate(t.Name, value); err != nil {
			return nil, err
		}
		resolved = append(resolved, Argument{Name: p.Name, Value: value})
	}
	return resolved, nil
}

func (t Template) resolveValue(p Parameter, w Workspace, given []Argument) (string, bool) {
	if value, found := findArgument(given, p.Name); found {
		return value, true
	}
	if value, found := w.Value(t.Name, p.Name); found {
		return value, true
	}
	if p.Default != nil {
		return *p.Default, true
	}
	return "", false
}

// validate checks a value against the type and bounds of p.
func (p Parameter) validate(template, value string) error {
	switch p.Type {
	case IntegerParameter:
		number, err := strconv.Atoi(value)
		if err != nil {
			return ErrMalformedParameter.New("template %q: parameter %q must be an integer", template, p.Name)
		}
		if number < p.Min || number > p.Max {
			return ErrOutOfBounds.New("template %q: parameter %q must be %d to %d", template, p.Name, p.Min, p.Max)
		}
	case BoolParameter:
		if value != "true" && value != "false" {
			return ErrMalformedParameter.New("template %q: parameter %q must be true or false", template, p.Name)
		}
	case EnumParameter:
		if !slices.Contains(p.Values, value) {
			return ErrOutOfBounds.New("template %q: parameter %q must be one of %s",
				template, p.Name, strings.Join(p.Values, ", "))
		}
	default:
		if len(value) < p.Min || len(value) > p.Max {
			return ErrOutOfBounds.New("template %q: parameter %q must be %d to %d bytes long",
				template, p.Name, p.Min, p.Max)
		}
	}
	return nil
}

func findArgument(sorted []Argument, name string) (string, bool) {
	i, found := slices.BinarySearchFunc(sorted, name, func(a Argument, name string) int {
		return strings.Compare(a.Name, name)
	})
	if !found {
		return "", false
	}
	return sorted[i].Value, true
}
