// Package ushersetting reads a process's settings from INI and checks them as a whole before anything starts.
//
// A process declares its settings as a struct of sections, each a struct of fields. The tags of a field give its key
// (ini), its default (default), whether it must be given (required) and its description (usage). Sections of embedded
// structs count as the struct's own. Unknown sections and keys are refused, and every fault is reported, not only the
// first.
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
	// ErrInvalid lists every fault of the settings.
	ErrInvalid = Errors.NewType("invalid")

	durationType = reflect.TypeFor[time.Duration]()
	addressType  = reflect.TypeFor[netip.AddrPort]()
)

type (
	// Checker is implemented by settings with rules beyond those of single fields.
	Checker interface {
		// Check returns a description of each rule broken.
		Check() []string
	}

	// Field describes one setting for the reference.
	Field struct {
		Section  string
		Key      string
		Type     string
		Default  string
		Required bool
		Usage    string
	}

	slot struct {
		Field
		value reflect.Value
	}
)

// Load reads the file at path into settings, a pointer to a struct of sections.
func Load(path string, settings any) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return ErrInvalid.Wrap(err, "settings")
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
		return ErrInvalid.Wrap(err, "settings are no INI")
	}
	slots := slotsOf(settings)
	faults := unknown(file, slots)
	for _, s := range slots {
		if fault := s.fill(file); fault != "" {
			faults = append(faults, fault)
		}
	}
	if checker, ok := settings.(Checker); ok && len(faults) == 0 {
		faults = checker.Check()
	}
	if len(faults) > 0 {
		return ErrInvalid.New("%s", strings.Join(faults, "; "))
	}
	return nil
}

// Reference describes every setting, in the order of declaration.
func Reference(settings any) []Field {
	fields := []Field{}
	for _, s := range slotsOf(settings) {
		fields = append(fields, s.Field)
	}
	return fields
}

func slotsOf(settings any) []slot {
	return structSlots(reflect.ValueOf(settings).Elem())
}

// structSlots returns the slots of a struct of sections, and those of the structs that are embedded in it.
func structSlots(root reflect.Value) []slot {
	slots := []slot{}
	for i := range root.NumField() {
		field := root.Type().Field(i)
		if section, ok := field.Tag.Lookup("ini"); ok {
			slots = append(slots, sectionSlots(section, root.Field(i))...)
		} else if field.Anonymous {
			slots = append(slots, structSlots(root.Field(i))...)
		}
	}
	return slots
}

func sectionSlots(section string, values reflect.Value) []slot {
	slots := []slot{}
	for i := range values.NumField() {
		field := values.Type().Field(i)
		slots = append(slots, slot{
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
	return slots
}

func unknown(file *ini.File, slots []slot) []string {
	known := map[string]map[string]bool{}
	for _, s := range slots {
		if known[s.Section] == nil {
			known[s.Section] = map[string]bool{}
		}
		known[s.Section][s.Key] = true
	}
	faults := []string{}
	for _, section := range file.Sections() {
		keys, ok := known[section.Name()]
		if !ok && (section.Name() != ini.DefaultSection || len(section.Keys()) > 0) {
			faults = append(faults, "unknown section ["+section.Name()+"]")
			continue
		}
		for _, key := range section.Keys() {
			if !keys[key.Name()] {
				faults = append(faults, "unknown key "+section.Name()+"."+key.Name())
			}
		}
	}
	return faults
}

// fill sets the slot from file and returns what was wrong, or nothing.
func (s slot) fill(file *ini.File) string {
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
		return name + " = " + strconv.Quote(text) + " is no " + s.Type
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
