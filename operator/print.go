package operator

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/bluebellstile/bluebellstile/operator/inifile"
	"github.com/pkg/errors"
	"gopkg.in/ini.v1"
)

// MaxTextBytes bounds the text of a configuration, so that it fits into one
// record of the log.
const MaxTextBytes = 512 << 10

// The last section counts the sections before it, so that a text which was
// cut off is refused and not taken for a smaller configuration.
const (
	sectionEnd  = "end"
	keySections = "sections"
)

// Print returns the canonical text of c: every list sorted, every value
// that isn't empty written out, so that a later change of a default changes no published
// configuration. It refuses a configuration that Validate rejects.
func Print(c *Config) (string, error) {
	if err := Validate(c); err != nil {
		return "", err
	}
	c = c.Canonical()
	p := &printer{file: ini.Empty(inifile.Options())}
	p.file.Section("").Comment = headerComment()
	printAll(p, sectionZone, c.Zones, zoneFields, func(z *Zone) string { return z.Name })
	printAll(p, sectionTeam, c.Teams, teamFields, func(t *Team) string { return t.Name })
	printAll(p, sectionKey, c.Keys, keyFields, func(k *Key) string { return k.ID })
	printAll(p, sectionQueue, c.Queues, queueFields, func(q *Queue) string { return q.Name })
	return p.finish()
}

// printer fills an INI file and remembers the first failure.
type printer struct {
	file  *ini.File
	count int
	err   error
}

// printAll adds a section for every element of list.
func printAll[T any](p *printer, kind string, list []T, fields []field[T], name func(*T) string) {
	for i := range list {
		section := p.section(sectionName(kind, name(&list[i])))
		for _, f := range fields {
			value := f.print(&list[i])
			if value == "" {
				continue
			}
			p.key(section, f.name, value, f.comment(&list[i]))
		}
		p.count++
	}
}

// comment returns the comment above the key, empty when there is none.
func (f *field[T]) comment(t *T) string {
	if f.note == nil {
		return ""
	}
	return f.note(t)
}

func (p *printer) section(name string) *ini.Section {
	section, err := p.file.NewSection(name)
	if err != nil && p.err == nil {
		p.err = err
	}
	return section
}

func (p *printer) key(section *ini.Section, name, value, comment string) {
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

// finish adds the last section and returns the text.
func (p *printer) finish() (string, error) {
	p.key(p.section(sectionEnd), keySections, strconv.Itoa(p.count), "")
	if p.err != nil {
		return "", errors.Wrap(p.err, "print configuration")
	}
	var b strings.Builder
	if _, err := p.file.WriteTo(&b); err != nil {
		return "", errors.Wrap(err, "print configuration")
	}
	if b.Len() > MaxTextBytes {
		return "", Errors{tooLarge(b.Len())}
	}
	return b.String(), nil
}

// tooLarge is the fault of a text of size bytes.
func tooLarge(size int) *Error {
	return &Error{
		Kind:   KindTooLarge,
		Rule:   fmt.Sprintf("the text has %d bytes, more than %d", size, MaxTextBytes),
		Remedy: "remove withdrawn keys, teams and queues that are no longer used",
	}
}

// headerComment explains every key once at the top of the text.
func headerComment() string {
	lines := []string{
		"# bluebellstile configuration. Durations are written as 500ms, 30s or 2h.",
		"# The section [end] counts the sections before it.",
	}
	lines = append(lines, describe(sectionZone, zoneFields)...)
	lines = append(lines, describe(sectionTeam, teamFields)...)
	lines = append(lines, describe(sectionKey, keyFields)...)
	lines = append(lines, describe(sectionQueue, queueFields)...)
	return strings.Join(lines, ini.LineBreak)
}

// describe returns one comment line per key of a kind of section.
func describe[T any](kind string, fields []field[T]) []string {
	lines := make([]string, 0, len(fields))
	for _, f := range fields {
		lines = append(lines, fmt.Sprintf("# %s %s: %s.", kind, f.name, f.doc))
	}
	return lines
}
