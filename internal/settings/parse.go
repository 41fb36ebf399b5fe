package settings

import (
	"fmt"
	"os"
	"unicode/utf8"

	"github.com/bluebellstile/bluebellstile/operator/inifile"
	"github.com/pkg/errors"
	"gopkg.in/ini.v1"
)

const (
	// sectionEnd is the last section of every file. It shows that the file
	// wasn't cut off, which would silently turn settings into defaults.
	sectionEnd = "end"
	// maxFileBytes bounds a settings file.
	maxFileBytes = 64 << 10
)

// load reads the settings file at path.
func (s *Schema[T]) load(path string) (*T, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, Errors{{
			Kind:   KindUnreadable,
			File:   path,
			Rule:   err.Error(),
			Remedy: fmt.Sprintf("name a file that exists and that the daemon may read; '%s' writes one", s.command),
		}}
	}
	return s.parse(data, path)
}

// parse reads settings; name stands for the file in messages. Every fault is
// reported, as Errors.
func (s *Schema[T]) parse(data []byte, name string) (*T, error) {
	p := &parser[T]{schema: s, name: name, settings: s.defaults(), seen: map[string]int{}}
	if len(data) > maxFileBytes || !utf8.Valid(data) {
		p.add(KindSyntax, "", "", 0, fmt.Sprintf("the file is not UTF-8 text of at most %d bytes", maxFileBytes),
			"name a settings file")
		return nil, p.errs
	}
	file, err := inifile.Load(string(data))
	if err != nil {
		p.addSyntax(err)
		return nil, p.errs
	}
	p.file = file
	p.parse()
	if len(p.errs) > 0 {
		return nil, p.errs
	}
	return p.settings, nil
}

// parser collects the settings and faults of one file.
type parser[T any] struct {
	schema   *Schema[T]
	name     string
	file     *inifile.File
	settings *T
	// seen counts the sections of each name.
	seen  map[string]int
	ended bool
	errs  Errors
}

func (p *parser[T]) add(kind ErrorKind, section, key string, line int, rule, remedy string) {
	p.errs = append(p.errs, &Error{
		Kind:    kind,
		File:    p.name,
		Line:    line,
		Section: section,
		Key:     key,
		Rule:    rule,
		Remedy:  remedy,
	})
}

func (p *parser[T]) addSyntax(err error) {
	line := 0
	var syntax *inifile.SyntaxError
	if errors.As(err, &syntax) {
		line = syntax.Line
	}
	p.add(KindSyntax, "", "", line, err.Error(), "write [section] headers and key = value lines")
}

func (p *parser[T]) parse() {
	for _, section := range p.file.Sections() {
		p.parseSection(section)
	}
	if !p.ended {
		p.add(KindTruncated, "", "", 0, "the file ends without an [end] section",
			"restore the rest of the file; if it is whole, add the line [end] at its end")
	}
	for i := range p.schema.keys {
		p.checkRequired(&p.schema.keys[i])
	}
	if len(p.errs) > 0 || p.schema.conflicts == nil {
		return
	}
	for _, e := range p.schema.conflicts(p.settings) {
		e.File = p.name
		e.Line = p.file.Line(e.Section, e.Key)
		p.errs = append(p.errs, e)
	}
}

func (p *parser[T]) parseSection(section *ini.Section) {
	name := section.Name()
	if name == ini.DefaultSection {
		p.refuseKeys(section, "", "the key stands outside every section", "move it below its section header")
		return
	}
	line := p.file.SectionLine(name, p.seen[name])
	p.seen[name]++
	switch {
	case p.seen[name] > 1:
		p.add(KindDuplicateSection, name, "", line, "the section stands twice", "merge the two")
	case p.ended:
		p.add(KindUnknownSection, name, "", line, "the section stands behind [end]", "move it before [end]")
	case name == sectionEnd:
		p.ended = true
		p.refuseKeys(section, name, "the section has no keys", "move the key to its own section")
	case !p.schema.hasSection(name):
		p.add(KindUnknownSection, name, "", line, "there is no such section",
			fmt.Sprintf("correct its spelling; '%s' lists every section", p.schema.command))
	default:
		p.parseKeys(section)
	}
}

func (p *parser[T]) refuseKeys(section *ini.Section, name, rule, remedy string) {
	for _, key := range section.KeyStrings() {
		p.add(KindUnknownKey, name, key, p.file.KeyLine(name, key), rule, remedy)
	}
}

func (p *parser[T]) parseKeys(section *ini.Section) {
	for _, name := range section.KeyStrings() {
		line := p.file.KeyLine(section.Name(), name)
		key := p.schema.find(section.Name(), name)
		if key == nil {
			p.add(KindUnknownKey, section.Name(), name, line, "there is no such key",
				fmt.Sprintf("correct its spelling or remove the line; '%s' lists every key", p.schema.command))
			continue
		}
		if inifile.Repeated(section, name) {
			p.add(KindDuplicateKey, section.Name(), name, line, "the key stands twice", "remove one of the two lines")
			continue
		}
		p.parseValue(key, section.Key(name).Value(), line)
	}
}

func (p *parser[T]) parseValue(key *Key[T], text string, line int) {
	err := key.parse(p.settings, text)
	if err == nil {
		return
	}
	kind := KindBadValue
	var outside *rangeError
	if errors.As(err, &outside) {
		kind = KindRange
	}
	p.add(kind, key.Section, key.Name, line, err.Error(), fmt.Sprintf("set a %s: %s", key.Type, key.Range))
}

func (p *parser[T]) checkRequired(key *Key[T]) {
	if !key.Required {
		return
	}
	section, err := p.file.GetSection(key.Section)
	if err == nil && section.HasKey(key.Name) {
		return
	}
	p.add(KindMissingKey, key.Section, key.Name, p.file.SectionLine(key.Section, 0), "the key is missing",
		fmt.Sprintf("add it, such as %s = %s", key.Name, key.Example))
}
