// Package ushersetting reads a process's settings from an INI file and validates all of them before anything starts.
//
// A process declares its settings as a struct of sections, each of which is a struct of fields. The tags of a field
// give its key (ini), its default (default), whether it must be given (required) and its description (usage). Sections
// of embedded structs count as sections of the struct itself. Unknown sections and keys are errors, and all errors are
// reported, not just the first one.
//
// # Usage
//
//	type settings struct {
//		Link struct {
//			Listen string `ini:"listen" required:"true" usage:"IP number and UDP port for other processes"`
//		} `ini:"link"`
//	}
//	var s settings
//	if err := ushersetting.Load(path, &s); err != nil {
//		return err
//	}
package ushersetting

import (
	"net/netip"
	"os"
	"reflect"
	"strconv"
	"strings"
	"time"

	"github.com/joomcode/errorx"
	"gopkg.in/ini.v1"
)

var (
	// Errors is the namespace of this package's errors.
	Errors = errorx.NewNamespace("usher_setting")
	// ErrInvalid is the type of errors that list everything wrong with the settings.
	ErrInvalid = Errors.NewType("invalid")

	durationType = reflect.TypeFor[time.Duration]()
	addressType  = reflect.TypeFor[netip.AddrPort]()
)

type (
	// Checker is implemented by settings with constraints beyond those of single fields.
	Checker interface {
		// Check returns a description of each violated constraint.
		Check() []string
	}

	// Field describes one setting for the reference documentation.
	Field struct {
		Section  string
		Key      string
		Type     string
		Default  string
		Required bool
		Usage    string
	}

	boundField struct {
		Field
		value reflect.Value
	}
)

// Load reads the file at path into settings, which must be a pointer to a struct of sections.
func Load(path string, settings any) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return ErrInvalid.Wrap(err, "cannot read the settings")
	}
	if err := Parse(data, settings); err != nil {
		return errorx.Decorate(err, "%s", path)
	}
	return nil
}

// Parse reads INI text into settings.
func Parse(data []byte, settings any) error {
	file, err := ini.LoadSources(ini.LoadOptions{SkipUnrecognizableLines: false}, data)
	if err != nil {
		return ErrInvalid.Wrap(err, "the settings are not valid INI")
	}
	fields := fieldsOf(settings)
	problems := unknownKeys(file, fields)
	for _, s := range fields {
		if problem := s.assign(file); problem != "" {
			problems = append(problems, problem)
		}
	}
	if checker, ok := settings.(Checker); ok && len(problems) == 0 {
		problems = checker.Check()
	}
	if len(problems) > 0 {
		return ErrInvalid.New("%s", strings.Join(problems, "; "))
	}
	return nil
}

// Reference returns a description of every setting, in the order of declaration.
func Reference(settings any) []Field {
	fields := []Field{}
	for _, s := range fieldsOf(settings) {
		fields = append(fields, s.Field)
	}
	return fields
}

func fieldsOf(settings any) []boundField {
	return structFields(reflect.ValueOf(settings).Elem())
}

// structFields returns the fields of all sections of a struct, including those of embedded structs.
func structFields(root reflect.Value) []boundField {
	fields := []boundField{}
	for i := range root.NumField() {
		field := root.Type().Field(i)
		if section, ok := field.Tag.Lookup("ini"); ok {
			fields = append(fields, sectionFields(section, root.Field(i))...)
		} else if field.Anonymous {
			fields = append(fields, structFields(root.Field(i))...)
		}
	}
	return fields
}

func sectionFields(section string, values reflect.Value) []boundField {
	fields := []boundField{}
	for i := range values.NumField() {
		field := values.Type().Field(i)
		fields = append(fields, boundField{
			Field: Field{
				Section:  section,
				Key:      field.Tag.Get("ini"),
				Type:     typeName(field.Type),
				Default:  field.Tag.Get("default"),
				Required: field.Tag.Get("required") == "true",
				Usage:    field.Tag.Get("usage"),
			},
			value: values.Field(i),
		})
	}
	return fields
}

func unknownKeys(file *ini.File, fields []boundField) []string {
	known := map[string]map[string]bool{}
	for _, s := range fields {
		if known[s.Section] == nil {
			known[s.Section] = map[string]bool{}
		}
		known[s.Section][s.Key] = true
	}
	problems := []string{}
	for _, section := range file.Sections() {
		keys, ok := known[section.Name()]
		if !ok && (section.Name() != ini.DefaultSection || len(section.Keys()) > 0) {
			problems = append(problems, "unknown section ["+section.Name()+"]")
			continue
		}
		for _, key := range section.Keys() {
			if !keys[key.Name()] {
				problems = append(problems, "unknown key "+section.Name()+"."+key.Name())
			}
		}
	}
	return problems
}

// assign sets the field from file, or to its default, and returns a description of the error, or an empty string.
func (s boundField) assign(file *ini.File) string {
	name := s.Section + "." + s.Key
	text := s.Default
	if section, err := file.GetSection(s.Section); err == nil && section.HasKey(s.Key) {
		text = section.Key(s.Key).String()
	}
	if text == "" {
		if s.Required {
			return name + " must be given"
		}
		return ""
	}
	if err := set(s.value, text); err != nil {
		return name + " = " + strconv.Quote(text) + " is not a valid " + s.Type
	}
	return ""
}

func set(value reflect.Value, text string) error {
	switch {
	case value.Type() == durationType:
		d, err := time.ParseDuration(text)
		if err == nil && d < 0 {
			err = strconv.ErrRange
		}
		value.SetInt(int64(d))
		return err
	case value.Type() == addressType:
		address, err := netip.ParseAddrPort(text)
		value.Set(reflect.ValueOf(address))
		return err
	case value.Kind() == reflect.String:
		value.SetString(text)
		return nil
	case value.Kind() == reflect.Int:
		n, err := strconv.Atoi(text)
		value.SetInt(int64(n))
		return err
	case value.Kind() == reflect.Float64:
		f, err := strconv.ParseFloat(text, 64)
		value.SetFloat(f)
		return err
	case value.Kind() == reflect.Bool:
		b, err := strconv.ParseBool(text)
		value.SetBool(b)
		return err
	case value.Kind() == reflect.Slice:
		return setList(value, text)
	default:
		panic("ushersetting: field of type " + value.Type().String())
	}
}

func setList(value reflect.Value, text string) error {
	list := reflect.MakeSlice(value.Type(), 0, 0)
	for item := range strings.SplitSeq(text, ",") {
		element := reflect.New(value.Type().Elem()).Elem()
		if err := set(element, strings.TrimSpace(item)); err != nil {
			return err
		}
		list = reflect.Append(list, element)
	}
	value.Set(list)
	return nil
}

func typeName(t reflect.Type) string {
	switch {
	case t == durationType:
		return "duration"
	case t == addressType:
		return "address (IP number and port)"
	case t.Kind() == reflect.Slice:
		return "list of " + typeName(t.Elem())
	default:
		return t.Kind().String()
	}
}
