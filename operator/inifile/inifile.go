// Package inifile reads INI text by the INI library and keeps what a strict
// reader needs besides: repeated sections and keys, and line numbers for its
// messages.
package inifile

import (
	"fmt"
	"strings"

	"github.com/pkg/errors"
	"gopkg.in/ini.v1"
)

// File is INI text that has been read.
type File struct {
	*ini.File
	headers map[string][]int
	keys    map[place]int
}

// place is a key in a section.
type place struct {
	section string
	key     string
}

// SyntaxError is text that isn't INI.
type SyntaxError struct {
	// Line counts from 1; 0 when it isn't known.
	Line int
	Rule string
}

// Error returns what is wrong with the text.
func (e *SyntaxError) Error() string {
	return e.Rule
}

// Options returns the options of the INI library that keep repeated sections
// and keys apart.
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

// Load reads text. Its errors are of type *SyntaxError.
func Load(text string) (*File, error) {
	file, err := ini.LoadSources(Options(), []byte(text))
	if err != nil {
		return nil, syntaxError(text, err)
	}
	f := &File{
		File:    file,
		headers: map[string][]int{},
		keys:    map[place]int{},
	}
	f.index(text)
	return f, nil
}

// index notes where section headers and keys stand, which the library doesn't
// report. A miss costs a line number in a message and nothing else.
func (f *File) index(text string) {
	section, number := "", 0
	for line := range strings.Lines(text) {
		number++
		line = strings.TrimSpace(line)
		if end := strings.LastIndexByte(line, ']'); end > 0 && line[0] == '[' {
			section = line[1:end]
			f.headers[section] = append(f.headers[section], number)
			continue
		}
		if key, _, ok := strings.Cut(line, "="); ok {
			f.keys[place{section, strings.TrimSpace(key)}] = number
		}
	}
}

// SectionLine returns the line of the nth header of a section, counted from
// 0, and 0 if it isn't known.
func (f *File) SectionLine(section string, nth int) int {
	if nth >= len(f.headers[section]) {
		return 0
	}
	return f.headers[section][nth]
}

// KeyLine returns the last line where a key stands, 0 if it isn't known. The
// section of keys before the first header is "".
func (f *File) KeyLine(section, key string) int {
	return f.keys[place{section, key}]
}

// Line returns the line of a key, else that of its section, else 0.
func (f *File) Line(section, key string) int {
	if line := f.KeyLine(section, key); line > 0 {
		return line
	}
	return f.SectionLine(section, 0)
}

// Repeated reports whether a key stands more than once in its section.
func Repeated(section *ini.Section, key string) bool {
	return len(section.Key(key).ValueWithShadows()) > 1
}

func syntaxError(text string, err error) *SyntaxError {
	var missing ini.ErrDelimiterNotFound
	if !errors.As(err, &missing) {
		return &SyntaxError{Rule: err.Error()}
	}
	return &SyntaxError{
		Line: findLine(text, missing.Line),
		Rule: fmt.Sprintf("%.60q is neither a section nor key = value", strings.TrimSpace(missing.Line)),
	}
}

// findLine returns the number of the first line whose trimmed form equals
// that of wanted, 0 if there is none.
func findLine(text, wanted string) int {
	number := 0
	for line := range strings.Lines(text) {
		number++
		if strings.TrimSpace(line) == strings.TrimSpace(wanted) {
			return number
		}
	}
	return 0
}
