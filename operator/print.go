package operator

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/bluebellstile/bluebellstile/operator/inifile"
	"github.com/pkg/errors"
	"gopkg.in/ini.v1"
)

// MaxTextBytes is the largest size of the text of a configuration, which must
// fit into one record of the log.
const MaxTextBytes = 512 << 10

// The last section states the number of sections before it, so that a
// truncated text is refused and not taken for a smaller configuration.
const (
	sectionEnd  = "end"
	keySections = "sections"
)

// Print returns the canonical text of c. Every list is sorted, and every value
// that isn't empty is written out, so that a later change of a default doesn't
// change a published configuration. If Validate rejects c, Print returns its
// error.
func Print(c *Config) (string, error) {
	if err := Validate(c); err != nil {
		return "", err
	}
	c = c.Canonical()
	p := &printer{file: ini.Empty(inifile.Options())}
	p.file.Section("").Comment = headerComment()
	printEntries(p, sectionZone, c.Zones, zoneFields, func(z *Zone) string { return z.Name })
	printEntries(p, sectionTeam, c.Teams, teamFields, func(t *Team) string { return t.Name })
	printEntries(p, sectionKey, c.Keys, keyFields, func(k *Key) string { return k.ID })
	printEntries(p, sectionQueue, c.Queues, queueFields, func(q *Queue) string { return q.Name })
	return p.text()
}

// printer builds an INI file and keeps the first error.
type printer struct {
	file       *ini.File
	entryCount int
	err        error
}

// printEntries adds a section for every entry in list.
func printEntries[T any](p *printer, kind string, list []T, fields []field[T], name func(*T) string) {
	for i := range list {
		section := p.addSection(sectionName(kind, name(&list[i])))
		for _, f := range fields {
			value := f.print(&list[i])
			if value == "" {
				continue
			}
			p.addKey(section, f.name, value, f.comment(&list[i]))
		}
		p.entryCount++
	}
}

// comment returns the comment that is printed above the key, or "".
func (f *field[T]) comment(t *T) string {
	if f.note == nil {
		return ""
	}
	return f.note(t)
}

func (p *printer) addSection(name string) *ini.Section {
	section, err := p.file.NewSection(name)
	if err != nil && p.err == nil {
		p.err = err
	}
	return section
}

func (p *printer) addKey(section *ini.Section, name, value, comment string) {
	if p.err != nil {
		return
	}
	key, err := section.NewKey(name, value)
	if err != nil {
		p.err = err
		return
	}
	if comment != "" {
		key.Comment = "# " + comment
	}
}

// text adds the section [end] and returns the text of the file.
func (p *printer) text() (string, error) {
	p.addKey(p.addSection(sectionEnd), keySections, strconv.Itoa(p.entryCount), "")
	if p.err != nil {
		return "", errors.Wrap(p.err, "print configuration")
	}
	var b strings.Builder
	if _, err := p.file.WriteTo(&b); err != nil {
		return "", errors.Wrap(err, "print configuration")
	}
	if b.Len() > MaxTextBytes {
		return "", Errors{tooLargeError(b.Len())}
	}
	return b.String(), nil
}

// tooLargeError returns the error for a text of size bytes.
func tooLargeError(size int) *Error {
	return &Error{
		Kind:   KindTooLarge,
		Rule:   fmt.Sprintf("the text has %d bytes, more than %d", size, MaxTextBytes),
		Remedy: "remove withdrawn keys, teams and queues that are no longer used",
	}
}

// headerComment returns the comment at the top of the text, which explains
// every key.
func headerComment() string {
	lines := []string{
		"# bluebellstile configuration. Durations are written as 500ms, 30s or 2h.",
		"# The section [end] counts the sections before it.",
	}
	lines = append(lines, fieldComments(sectionZone, zoneFields)...)
	lines = append(lines, fieldComments(sectionTeam, teamFields)...)
	lines = append(lines, fieldComments(sectionKey, keyFields)...)
	lines = append(lines, fieldComments(sectionQueue, queueFields)...)
	return strings.Join(lines, ini.LineBreak)
}

// fieldComments returns one comment line per key of a kind of section.
func fieldComments[T any](kind string, fields []field[T]) []string {
	lines := make([]string, 0, len(fields))
	for _, f := range fields {
		lines = append(lines, fmt.Sprintf("# %s %s: %s.", kind, f.name, f.doc))
	}
	return lines
}
