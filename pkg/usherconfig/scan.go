package usherconfig

import (
	"strings"
	"unicode/utf8"

	"gopkg.in/ini.v1"
)

type (
	// sectionText is one section of an INI file with the lines that it and its keys stand on.
	sectionText struct {
		file  string
		line  int
		title string
		keys  []keyText
	}

	// keyText is one key of a section.
	keyText struct {
		name  string
		value string
		line  int
	}

	// scanner finds the lines that the INI library does not report, and the faults that it stops at or passes over.
	scanner struct {
		file     string
		lines    []string
		next     int // index of the line to be read
		faults   []Fault
		sections []sectionText
		bodies   []string // text of each section, for the INI library
	}
)

var iniOptions = ini.LoadOptions{
	IgnoreContinuation:      true,
	IgnoreInlineComment:     true,
	SkipUnrecognizableLines: true,
	KeyValueDelimiters:      "=",
}

// scanFile cuts an INI file into its sections.
func scanFile(file, text string) ([]sectionText, []Fault) {
	s := &scanner{file: file, lines: strings.SplitAfter(strings.TrimPrefix(text, "\uFEFF"), "\n")}
	for s.next < len(s.lines) {
		s.scanLine()
	}
	for i := range s.sections {
		s.load(i)
	}
	return s.sections, s.faults
}

func (s *scanner) scanLine() {
	number := s.next + 1
	raw := s.lines[s.next]
	line := strings.TrimSpace(raw)
	s.next++
	switch {
	case !utf8.ValidString(raw):
		s.report(number, "", "a line must be valid UTF-8")
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
		s.report(number, "", "a section title ends with ]")
	}
	title = strings.Join(strings.Fields(title), " ")
	s.sections = append(s.sections, sectionText{file: s.file, line: number, title: title})
	s.bodies = append(s.bodies, "")
}

func (s *scanner) scanKey(number int, raw, line string) {
	name, value, found := strings.Cut(line, "=")
	name = strings.TrimSpace(name)
	if !found || name == "" || strings.ContainsAny(name, "\"`'") {
		s.report(number, "", "a line is a [section], a key = value, or a comment after # or ;")
		return
	}
	more, closed := s.scanQuoted(strings.TrimSpace(value))
	if !closed {
		s.report(number, name, "the quote at the beginning of the value is not closed")
		raw, more = name+" =\n", "" // keeps the keys before it readable
	}
	if len(s.sections) == 0 {
		s.report(number, name, "a key stands in a section")
		return
	}
	last := len(s.sections) - 1
	for _, k := range s.sections[last].keys {
		if k.name == name {
			s.report(number, name, "is given twice in this section")
			return
		}
	}
	s.sections[last].keys = append(s.sections[last].keys, keyText{name: name, line: number})
	s.bodies[last] += raw + more
}

// scanQuoted returns the further lines of a value that begins with a quote, and whether the quote is closed.
func (s *scanner) scanQuoted(value string) (more string, closed bool) {
	quote := ""
	if strings.HasPrefix(value, `"""`) {
		quote = `"""`
	} else if strings.HasPrefix(value, "`") {
		quote = "`"
	}
	if quote == "" || strings.Contains(value[len(quote):], quote) {
		return "", true
	}
	first := s.next
	for s.next < len(s.lines) {
		line := s.lines[s.next]
		s.next++
		if !utf8.ValidString(line) {
			s.report(s.next, "", "a line must be valid UTF-8")
		}
		if strings.Contains(line, quote) {
			return strings.Join(s.lines[first:s.next], ""), true
		}
	}
	s.next = first
	for s.next < len(s.lines) && !strings.HasPrefix(s.lines[s.next], "[") {
		s.next++ // the next title is the first line that is surely no text
	}
	return "", false
}

// load reads the values of a section by the INI library.
func (s *scanner) load(i int) {
	section := &s.sections[i]
	file, err := ini.LoadSources(iniOptions, []byte(s.bodies[i]))
	if err != nil {
		if len(s.faults) == 0 {
			s.report(section.line, "", "is not INI: %s", err)
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
