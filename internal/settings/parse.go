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
	// sectionEnd is the last section of every file. It proves that the file
	// isn't truncated, which would silently turn settings into defaults.
	sectionEnd = "end"
	// maxFileBytes is the largest size of a settings file.
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
			Remedy: fmt.Sprintf("give the path of a file that exists and that the daemon may read; '%s' writes one", s.command),
		}}
	}
	return s.parse(data, path)
}

// parse reads settings from data; name is the name of the file in error
// messages. Its error is an Errors that lists every error found.
func (s *Schema[T]) parse(data []byte, name string) (*T, error) {
	p := &parser[T]{schema: s, name: name, settings: s.defaults(), sectionCount: map[string]int{}}
	if len(data) > maxFileBytes || !utf8.Valid(data) {
		p.addError(KindSyntax, "", "", 0, fmt.Sprintf("the file is not UTF-8 text of at most %d bytes", maxFileBytes),
			"give the path of a settings file")
		return nil, p.errs
	}
	file, err := inifile.Load(string(data))
	if err != nil {
		p.addSyntaxError(err)
		return nil, p.errs
	}
	p.file = file
	p.parse()
	if len(p.errs) > 0 {
		return nil, p.errs
	}
	return p.settings, nil
}

// parser collects the settings and errors of one file.
type parser[T any] struct {
	schema   *Schema[T]
	name     string
	file     *inifile.File
	settings *T
	// sectionCount counts the sections of each name.
	sectionCount map[string]int
	// endSeen is set when the section [end] has been read.
	endSeen bool
	errs    Errors
}

func (p *parser[T]) addError(kind ErrorKind, section, key string, line int, rule, remedy string) {
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

func (p *parser[T]) addSyntaxError(err error) {
	line := 0
	var syntax *inifile.SyntaxError
	if errors.As(err, &syntax) {
		line = syntax.Line
	}
	p.addError(KindSyntax, "", "", line, err.Error(), "write [section] headers and key = value lines")
}

func (p *parser[T]) parse() {
	for _, section := range p.file.Sections() {
		p.parseSection(section)
	}
	if !p.endSeen {
		p.addError(KindTruncated, "", "", 0, "the file ends without an [end] section",
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
		p.rejectKeys(section, "", "the key is outside of any section", "move it below its section header")
		return
	}
	line := p.file.SectionLine(name, p.sectionCount[name])
	p.sectionCount[name]++
	switch {
	case p.sectionCount[name] > 1:
		p.addError(KindDuplicateSection, name, "", line, "the section appears twice", "merge the two")
	case p.endSeen:
		p.addError(KindUnknownSection, name, "", line, "the section is after [end]", "move it before [end]")
	case name == sectionEnd:
		p.endSeen = true
		p.rejectKeys(section, name, "the section has no keys", "move the key to its own section")
	case !p.schema.hasSection(name):
		p.addError(KindUnknownSection, name, "", line, "there is no such section",
			fmt.Sprintf("correct its spelling; '%s' lists every section", p.schema.command))
	default:
		p.parseKeys(section)
	}
}

// rejectKeys reports an error for every key of the section.
func (p *parser[T]) rejectKeys(section *ini.Section, name, rule, remedy string) {
	for _, key := range section.KeyStrings() {
		p.addError(KindUnknownKey, name, key, p.file.KeyLine(name, key), rule, remedy)
	}
}

func (p *parser[T]) parseKeys(section *ini.Section) {
	for _, name := range section.KeyStrings() {
		line := p.file.KeyLine(section.Name(), name)
		key := p.schema.find(section.Name(), name)
		if key == nil {
			p.addError(KindUnknownKey, section.Name(), name, line, "there is no such key",
				fmt.Sprintf("correct its spelling or remove the line; '%s' lists every key", p.schema.command))
			continue
		}
		if inifile.Repeated(section, name) {
			p.addError(KindDuplicateKey, section.Name(), name, line, "the key appears twice", "remove one of the two lines")
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
	var rangeErr *rangeError
	if errors.As(err, &rangeErr) {
		kind = KindRange
	}
	p.addError(kind, key.Section, key.Name, line, err.Error(), fmt.Sprintf("set a %s: %s", key.Type, key.Range))
}

// checkRequired reports an error if the key is required and left out.
func (p *parser[T]) checkRequired(key *Key[T]) {
	if !key.Required {
		return
	}
	section, err := p.file.GetSection(key.Section)
	if err == nil && section.HasKey(key.Name) {
		return
	}
	p.addError(KindMissingKey, key.Section, key.Name, p.file.SectionLine(key.Section, 0), "the key is missing",
		fmt.Sprintf("add it, such as %s = %s", key.Name, key.Example))
}
