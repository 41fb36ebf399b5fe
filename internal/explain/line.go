// Package explain reconstructs the history of one job from the log lines of all
// daemons.
package explain

import (
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Line is one parsed log line.
type Line struct {
	Time    time.Time
	Level   string
	Message string
	// Fields are the other fields: those of a text line in the order of the
	// line, those of a JSON line in the order of their names.
	Fields []Field
}

// Field is a named value in a line.
type Field struct{ Name, Value string }

// Get returns the value of the named field, or "" if there is none.
func (l *Line) Get(name string) string {
	for _, f := range l.Fields {
		if f.Name == name {
			return f.Value
		}
	}
	return ""
}

// errNotLogLine is returned for text that is not a daemon's log line, such as
// the output of a supervisor between them.
var errNotLogLine = errors.New("not a log line of a daemon")

// ParseLine parses a line in slog's text or JSON format. It skips what a log
// collector has put before the line, such as a time and a host name.
func ParseLine(text string) (Line, error) {
	text = strings.TrimSpace(text)
	if i := strings.Index(text, `{"time":`); i >= 0 {
		return parseJSON(text[i:])
	}
	if i := strings.Index(text, "time="); i == 0 || i > 0 && text[i-1] == ' ' {
		return parseText(text[i:])
	}
	return Line{}, errNotLogLine
}

// parseJSON parses a line in JSON.
func parseJSON(text string) (Line, error) {
	var values map[string]json.RawMessage
	if err := json.Unmarshal([]byte(text), &values); err != nil {
		return Line{}, errors.Wrap(errNotLogLine, err.Error())
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
	return l, l.validate()
}

// parseText parses name=value pairs. A value with spaces or quotes is quoted.
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
	return l, l.validate()
}

// cutName splits text after the name of its first pair and the "=".
func cutName(text string) (name, rest string, err error) {
	if strings.HasPrefix(text, `"`) {
		name, rest, err = unquote(text)
		if err != nil || !strings.HasPrefix(rest, "=") {
			return "", "", errNotLogLine
		}
		return name, rest[1:], nil
	}
	name, rest, found := strings.Cut(text, "=")
	if !found || strings.ContainsAny(name, " \"") {
		return "", "", errNotLogLine
	}
	return name, rest, nil
}

// cutValue splits text after the value at its start.
func cutValue(text string) (value, rest string, err error) {
	if strings.HasPrefix(text, `"`) {
		return unquote(text)
	}
	value, rest, _ = strings.Cut(text, " ")
	return value, rest, nil
}

// unquote parses the quoted string at the start of text and returns the rest.
func unquote(text string) (value, rest string, err error) {
	for i := 1; i < len(text); i++ {
		switch text[i] {
		case '\\':
			i++
		case '"':
			value, err = strconv.Unquote(text[:i+1])
			if err != nil {
				return "", "", errors.Wrap(errNotLogLine, err.Error())
			}
			return value, text[i+1:], nil
		}
	}
	return "", "", errors.Wrap(errNotLogLine, "the line is cut off in a quoted value")
}

// set stores a field of the line.
func (l *Line) set(name, value string) error {
	switch name {
	case "time":
		at, err := time.Parse(time.RFC3339Nano, value)
		if err != nil {
			return errors.Wrap(errNotLogLine, err.Error())
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

// validate returns errNotLogLine if the line lacks its time or message.
func (l *Line) validate() error {
	if l.Time.IsZero() || l.Message == "" {
		return errNotLogLine
	}
	return nil
}
