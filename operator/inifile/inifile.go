// Package inifile reads INI text with the library gopkg.in/ini.v1. It also
// provides what a strict parser needs: repeated sections and keys, and line
// numbers for error messages.
package inifile

import (
	"fmt"
	"strings"

	"github.com/pkg/errors"
	"gopkg.in/ini.v1"
)

// File is a parsed INI text with line numbers.
type File struct {
	*ini.File
	// sectionLines holds the line numbers of the headers of each section.
	sectionLines map[string][]int
	// keyLines holds the line number of the last occurrence of each key.
	keyLines map[keyRef]int
}

// keyRef identifies a key in a section.
type keyRef struct {
	section string
	key     string
}

// SyntaxError reports a text that isn't valid INI.
type SyntaxError struct {
	// Line is the line number, from 1; 0 if it isn't known.
	Line int
	// Rule says what is wrong.
	Rule string
}

// Error returns what is wrong with the text.
func (e *SyntaxError) Error() string {
	return e.Rule
}

// Options returns the options for the INI library that keep repeated sections
// and keys separate instead of merging them.
func Options() ini.LoadOptions {
	return ini.LoadOptions{
		IgnoreContinuation:         true,
		AllowShadows:               true,
		AllowDuplicateShadowValues: true,
		PreserveEmptyShadowValues:  true,
		AllowNonUniqueSections:     true,
		KeyValueDelimiters:         "=",
		ChildSectionDelimiter:      "\x00",
	}
}

// Load parses text. Its errors are of type *SyntaxError.
func Load(text string) (*File, error) {
	file, err := ini.LoadSources(Options(), []byte(text))
	if err != nil {
		return nil, syntaxError(text, err)
	}
	f := &File{
		File:         file,
		sectionLines: map[string][]int{},
		keyLines:     map[keyRef]int{},
	}
	f.indexLines(text)
	return f, nil
}

// indexLines records the line numbers of section headers and keys, which the
// library doesn't report. If it misses one, only an error message lacks its
// line number.
func (f *File) indexLines(text string) {
	section, number := "", 0
	for line := range strings.Lines(text) {
		number++
		line = strings.TrimSpace(line)
		if end := strings.LastIndexByte(line, ']'); end > 0 && line[0] == '[' {
			section = line[1:end]
			f.sectionLines[section] = append(f.sectionLines[section], number)
			continue
		}
		if key, _, ok := strings.Cut(line, "="); ok {
			f.keyLines[keyRef{section, strings.TrimSpace(key)}] = number
		}
	}
}

// SectionLine returns the line number of the nth header of a section, with nth
// counted from 0. It returns 0 if the line isn't known.
func (f *File) SectionLine(section string, nth int) int {
	if nth >= len(f.sectionLines[section]) {
		return 0
	}
	return f.sectionLines[section][nth]
}

// KeyLine returns the line number of the last occurrence of a key, or 0 if it
// isn't known. The section of keys before the first header is "".
func (f *File) KeyLine(section, key string) int {
	return f.keyLines[keyRef{section, key}]
}

// Line returns the line number of a key, or else that of its section, or else
// 0.
func (f *File) Line(section, key string) int {
	if line := f.KeyLine(section, key); line > 0 {
		return line
	}
	return f.SectionLine(section, 0)
}

// Repeated reports whether a key appears more than once in its section.
func Repeated(section *ini.Section, key string) bool {
	return len(section.Key(key).ValueWithShadows()) > 1
}

func syntaxError(text string, err error) *SyntaxError {
	var missing ini.ErrDelimiterNotFound
	if !errors.As(err, &missing) {
		return &SyntaxError{Rule: err.Error()}
	}
	return &SyntaxError{
		Line: lineNumber(text, missing.Line),
		Rule: fmt.Sprintf("%.60q is neither a section nor key = value", strings.TrimSpace(missing.Line)),
	}
}

// lineNumber returns the number of the first line whose trimmed form equals
// that of wanted, or 0 if there is none.
func lineNumber(text, wanted string) int {
	number := 0
	for line := range strings.Lines(text) {
		number++
		if strings.TrimSpace(line) == strings.TrimSpace(wanted) {
			return number
		}
	}
	return 0
}
