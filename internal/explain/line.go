// Package explain tells the story of one job from the log lines of all
// daemons.
package explain

import (
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Line is one log line.
type Line struct {
	Time    time.Time
	Level   string
	Message string
	// Fields are the other fields in the order in which they stand, but those
	// of a line in JSON, which are in order of their names.
	Fields []Field
}

// Field is a named value of a line.
type Field struct{ Name, Value string }

// Get returns the value of a field, empty if there is none.
func (l *Line) Get(name string) string {
	for _, f := range l.Fields {
		if f.Name == name {
			return f.Value
		}
	}
	return ""
}

// errNoLine is returned for text that is no log line, as what a supervisor
// writes between them.
var errNoLine = errors.New("no log line of a daemon")

// ParseLine reads a line in text or JSON. What a collector has put before the
// line, as a time and the name of a host, is skipped.
func ParseLine(text string) (Line, error) {
	text = strings.TrimSpace(text)
	if i := strings.Index(text, `{"time":`); i >= 0 {
		return parseJSON(text[i:])
	}
	if i := strings.Index(text, "time="); i == 0 || i > 0 && text[i-1] == ' ' {
		return parseText(text[i:])
	}
	return Line{}, errNoLine
}

func parseJSON(text string) (Line, error) {
	var values map[string]json.RawMessage
	if err := json.Unmarshal([]byte(text), &values); err != nil {
		return Line{}, errors.Wrap(errNoLine, err.Error())
	}
	var l Line
	for _, name := range sortedNames(values) {
		var value string
		if json.Unmarshal(values[name], &value) != nil {
			value = string(values[name])
		}
		if err := l.set(name, value); err != nil {
			return Line{}, err
		}
	}
	return l, l.check()
}

// parseText reads name=value pairs; a value with blanks or quotes is quoted.
func parseText(text string) (Line, error) {
	var l Line
	for text != "" {
		name, rest, err := cutName(text)
		if err != nil {
			return Line{}, err
		}
		value, after, err := cutValue(rest)
		if err != nil {
			return Line{}, err
		}
		if err := l.set(name, value); err != nil {
			return Line{}, err
		}
		text = strings.TrimLeft(after, " ")
	}
	return l, l.check()
}

func cutName(text string) (name, rest string, err error) {
	if strings.HasPrefix(text, `"`) {
		name, rest, err = unquote(text)
		if err != nil || !strings.HasPrefix(rest, "=") {
			return "", "", errNoLine
		}
		return name, rest[1:], nil
	}
	name, rest, found := strings.Cut(text, "=")
	if !found || strings.ContainsAny(name, " \"") {
		return "", "", errNoLine
	}
	return name, rest, nil
}

func cutValue(text string) (value, rest string, err error) {
	if strings.HasPrefix(text, `"`) {
		return unquote(text)
	}
	value, rest, _ = strings.Cut(text, " ")
	return value, rest, nil
}

// unquote reads a quoted string at the begin of text.
func unquote(text string) (value, rest string, err error) {
	for i := 1; i < len(text); i++ {
		switch text[i] {
		case '\\':
			i++
		case '"':
			value, err = strconv.Unquote(text[:i+1])
			if err != nil {
				return "", "", errors.Wrap(errNoLine, err.Error())
			}
			return value, text[i+1:], nil
		}
	}
	return "", "", errors.Wrap(errNoLine, "the line is cut off in a quoted value")
}

func (l *Line) set(name, value string) error {
	switch name {
	case "time":
		at, err := time.Parse(time.RFC3339Nano, value)
		if err != nil {
			return errors.Wrap(errNoLine, err.Error())
		}
		l.Time = at
	case "level":
		l.Level = value
	case "msg":
		l.Message = value
	default:
		l.Fields = append(l.Fields, Field{Name: name, Value: value})
	}
	return nil
}

func (l *Line) check() error {
	if l.Time.IsZero() || l.Message == "" {
		return errNoLine
	}
	return nil
}
