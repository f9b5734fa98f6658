package usherconfig

import (
	"strings"
	"unicode/utf8"

	"gopkg.in/ini.v1"
)

type (
	// iniSection is a section of an INI file with the line numbers of its title and keys.
	iniSection struct {
		file  string
		line  int
		title string
		keys  []iniKey
	}

	// iniKey is a key of a section.
	iniKey struct {
		name  string
		value string
		line  int
	}

	// scanner splits an INI file into sections and keys. The INI library reports no line numbers, stops at some errors
	// and ignores others, so the scanner finds lines and syntax errors itself and leaves only the values to the
	// library.
	scanner struct {
		file     string
		lines    []string
		nextLine int // index of the next line to read
		faults   []Fault
		sections []iniSection
		bodies   []string // source text of each section, parsed by the INI library
	}
)

var iniOptions = ini.LoadOptions{
	IgnoreContinuation:      true,
	IgnoreInlineComment:     true,
	SkipUnrecognizableLines: true,
	KeyValueDelimiters:      "=",
}

// scanFile splits an INI file into its sections.
func scanFile(file, text string) ([]iniSection, []Fault) {
	s := &scanner{file: file, lines: strings.SplitAfter(strings.TrimPrefix(text, "\uFEFF"), "\n")}
	for s.nextLine < len(s.lines) {
		s.scanLine()
	}
	for i := range s.sections {
		s.loadValues(i)
	}
	return s.sections, s.faults
}

func (s *scanner) scanLine() {
	number := s.nextLine + 1
	raw := s.lines[s.nextLine]
	line := strings.TrimSpace(raw)
	s.nextLine++
	switch {
	case !utf8.ValidString(raw):
		s.report(number, "", "the line must be valid UTF-8")
	case line == "" || line[0] == '#' || line[0] == ';':
	case line[0] == '[':
		s.scanTitle(number, line)
	default:
		s.scanKey(number, raw, line)
	}
}

func (s *scanner) scanTitle(number int, line string) {
	title, closed := strings.CutSuffix(line[1:], "]")
	if !closed {
		s.report(number, "", "the section title must end with ]")
	}
	title = strings.Join(strings.Fields(title), " ")
	s.sections = append(s.sections, iniSection{file: s.file, line: number, title: title})
	s.bodies = append(s.bodies, "")
}

func (s *scanner) scanKey(number int, raw, line string) {
	name, value, found := strings.Cut(line, "=")
	name = strings.TrimSpace(name)
	if !found || name == "" || strings.ContainsAny(name, "\"`'") {
		s.report(number, "", "the line must be a [section], key = value, or a comment that begins with # or ;")
		return
	}
	continuation, closed := s.scanQuoted(strings.TrimSpace(value))
	if !closed {
		s.report(number, name, "the quoted value is not terminated")
		raw, continuation = name+" =\n", "" // drops the value, so that the keys before it can still be parsed
	}
	if len(s.sections) == 0 {
		s.report(number, name, "a key must be in a section")
		return
	}
	last := len(s.sections) - 1
	for _, k := range s.sections[last].keys {
		if k.name == name {
			s.report(number, name, "is already set in this section")
			return
		}
	}
	s.sections[last].keys = append(s.sections[last].keys, iniKey{name: name, line: number})
	s.bodies[last] += raw + continuation
}

// scanQuoted returns the continuation lines of a quoted value and whether the closing quote was found.
func (s *scanner) scanQuoted(value string) (continuation string, closed bool) {
	quote := ""
	if strings.HasPrefix(value, `"""`) {
		quote = `"""`
	} else if strings.HasPrefix(value, "`") {
		quote = "`"
	}
	if quote == "" || strings.Contains(value[len(quote):], quote) {
		return "", true
	}
	first := s.nextLine
	for s.nextLine < len(s.lines) {
		line := s.lines[s.nextLine]
		s.nextLine++
		if !utf8.ValidString(line) {
			s.report(s.nextLine, "", "the line must be valid UTF-8")
		}
		if strings.Contains(line, quote) {
			return strings.Join(s.lines[first:s.nextLine], ""), true
		}
	}
	s.nextLine = first
	for s.nextLine < len(s.lines) && !strings.HasPrefix(s.lines[s.nextLine], "[") {
		s.nextLine++ // resume at the next title, the first line that is certainly not part of the value
	}
	return "", false
}

// loadValues parses the values of section i with the INI library.
func (s *scanner) loadValues(i int) {
	section := &s.sections[i]
	file, err := ini.LoadSources(iniOptions, []byte(s.bodies[i]))
	if err != nil {
		if len(s.faults) == 0 {
			s.report(section.line, "", "invalid INI: %s", err)
		}
		section.keys = nil
		return
	}
	values := file.Section("")
	for j, k := range section.keys {
		section.keys[j].value = values.Key(k.name).Value()
	}
}

func (s *scanner) report(line int, key, rule string, arguments ...any) {
	title := ""
	if len(s.sections) > 0 {
		title = s.sections[len(s.sections)-1].title
	}
	s.faults = append(s.faults, newFault(s.file, line, title, key, rule, arguments...))
}
