package operator

import (
	"fmt"
	"regexp"
	"strconv"

	"github.com/bluebellstile/bluebellstile/operator/inifile"
	"github.com/pkg/errors"
	"gopkg.in/ini.v1"
)

// headerPattern matches the name of a section of an aggregate.
var headerPattern = regexp.MustCompile(`^(zone|team|key|queue) "([^"]*)"$`)

// Parse reads the text of a configuration. Keys that are left out get their
// defaults; the result is canonical and passes Validate. Every fault is
// reported, as Errors.
func Parse(text string) (*Config, error) {
	if len(text) > MaxTextBytes {
		return nil, Errors{tooLarge(len(text))}
	}
	file, err := inifile.Load(text)
	if err != nil {
		return nil, Errors{syntaxError(err)}
	}
	p := &parser{file: file, seen: map[string]int{}}
	config := p.parse()
	if len(p.errs) > 0 {
		return nil, p.errs
	}
	return p.validate(config)
}

// syntaxError reports what the INI library can't read.
func syntaxError(err error) *Error {
	out := &Error{
		Kind:   KindSyntax,
		Rule:   err.Error(),
		Remedy: "write [kind \"name\"] headers and key = value lines",
	}
	var syntax *inifile.SyntaxError
	if errors.As(err, &syntax) {
		out.Line = syntax.Line
	}
	return out
}

// parser collects the aggregates and faults of one text.
type parser struct {
	file *inifile.File
	// seen counts the sections of each name.
	seen   map[string]int
	config Config
	errs   Errors
	// ended is set by the last section.
	ended bool
	count int
}

func (p *parser) add(kind ErrorKind, section, key string, line int, rule, remedy string) {
	p.errs = append(p.errs, &Error{
		Kind:    kind,
		Section: section,
		Key:     key,
		Line:    line,
		Rule:    rule,
		Remedy:  remedy,
	})
}

func (p *parser) parse() *Config {
	for _, section := range p.file.Sections() {
		p.parseSection(section)
	}
	if !p.ended {
		p.add(KindTruncated, "", "", 0, "the text ends without its [end] section",
			"publish the whole text that Print or 'bluebellstile config print' wrote")
	}
	return p.config.Canonical()
}

func (p *parser) parseSection(section *ini.Section) {
	name := section.Name()
	if name == ini.DefaultSection {
		p.checkOutside(section)
		return
	}
	line := p.file.SectionLine(name, p.seen[name])
	p.seen[name]++
	if p.seen[name] > 1 {
		p.add(KindDuplicateSection, name, "", line, "the section stands twice", "merge the two or rename one")
		return
	}
	if p.ended {
		p.add(KindUnknownSection, name, "", line, "the section stands behind [end]", "move it before [end]")
		return
	}
	if name == sectionEnd {
		p.parseEnd(section)
		return
	}
	p.count++
	p.parseAggregate(section, line)
}

// checkOutside refuses keys before the first section.
func (p *parser) checkOutside(section *ini.Section) {
	for _, key := range section.Keys() {
		p.add(KindUnknownKey, "", key.Name(), p.file.KeyLine("", key.Name()), "the key stands outside every section",
			"move it below its section header")
	}
}

func (p *parser) parseAggregate(section *ini.Section, line int) {
	match := headerPattern.FindStringSubmatch(section.Name())
	if match == nil {
		p.add(KindUnknownSection, section.Name(), "", line, "there is no such section",
			`write [zone "name"], [team "name"], [key "id"] or [queue "name"]`)
		return
	}
	name := match[2]
	switch match[1] {
	case sectionZone:
		p.config.Zones = append(p.config.Zones, parseFields(p, section, zoneFields, Zone{Name: name}))
	case sectionTeam:
		p.config.Teams = append(p.config.Teams, parseFields(p, section, teamFields, Team{Name: name}))
	case sectionKey:
		p.config.Keys = append(p.config.Keys, parseFields(p, section, keyFields, Key{ID: name}))
	case sectionQueue:
		p.config.Queues = append(p.config.Queues, parseFields(p, section, queueFields, Queue{Name: name}.withDefaults()))
	}
}

// parseFields reads the keys of a section over the defaults in t.
func parseFields[T any](p *parser, section *ini.Section, fields []field[T], t T) T {
	known := map[string]bool{}
	for _, f := range fields {
		known[f.name] = true
		if !section.HasKey(f.name) {
			p.checkRequired(section, f.name, f.required)
			continue
		}
		p.checkRepeated(section, f.name)
		if err := f.parse(&t, section.Key(f.name).Value()); err != nil {
			p.add(KindBadValue, section.Name(), f.name, p.file.KeyLine(section.Name(), f.name), err.Error(), "set "+f.name+" ("+f.doc+")")
			continue
		}
		p.checkZero(section, f.name, f.print(&t), defaulted[f.name])
	}
	p.checkUnknown(section, known)
	return t
}

// defaulted names the keys for whose zero value Config has a default, so
// that a written zero would silently turn into that default.
var defaulted = map[string]bool{
	"class":           true,
	"deadline":        true,
	"max_waiting":     true,
	"spill":           true,
	"start_objective": true,
	"start_target":    true,
}

func (p *parser) checkZero(section *ini.Section, key, printed string, hasDefault bool) {
	if !hasDefault {
		return
	}
	switch printed {
	case "", "0", "0s", "-0":
		p.add(KindRange, section.Name(), key, p.file.KeyLine(section.Name(), key), "the value is zero",
			"set a value above zero, or remove the line to have the default")
	}
}

func (p *parser) checkRequired(section *ini.Section, key string, required bool) {
	if !required {
		return
	}
	p.add(KindMissingKey, section.Name(), key, p.file.SectionLine(section.Name(), 0), "the key is missing", "add it")
}

func (p *parser) checkRepeated(section *ini.Section, key string) {
	if !inifile.Repeated(section, key) {
		return
	}
	p.add(KindDuplicateKey, section.Name(), key, p.file.KeyLine(section.Name(), key), "the key stands twice", "remove one of the two lines")
}

func (p *parser) checkUnknown(section *ini.Section, known map[string]bool) {
	for _, key := range section.KeyStrings() {
		if known[key] {
			continue
		}
		p.add(KindUnknownKey, section.Name(), key, p.file.KeyLine(section.Name(), key), "there is no such key",
			"correct its spelling or remove the line; the head of 'bluebellstile config print' lists every key")
	}
}

// parseEnd checks the count of sections.
func (p *parser) parseEnd(section *ini.Section) {
	p.ended = true
	p.checkUnknown(section, map[string]bool{keySections: true})
	p.checkRequired(section, keySections, !section.HasKey(keySections))
	value := section.Key(keySections).Value()
	if section.HasKey(keySections) && value != strconv.Itoa(p.count) {
		p.add(KindTruncated, sectionEnd, keySections, p.file.KeyLine(sectionEnd, keySections),
			fmt.Sprintf("%q sections are announced and %d are there", value, p.count),
			"publish the whole text, or correct the count after editing by hand")
	}
}

// validate checks config and adds line numbers to what it finds.
func (p *parser) validate(config *Config) (*Config, error) {
	err := Validate(config)
	if err == nil {
		return config, nil
	}
	var errs Errors
	if errors.As(err, &errs) {
		for _, e := range errs {
			e.Line = p.file.Line(e.Section, e.Key)
		}
	}
	return nil, err
}
