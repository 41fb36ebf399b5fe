package operator

import (
	"fmt"
	"regexp"
	"strconv"

	"github.com/bluebellstile/bluebellstile/operator/inifile"
	"github.com/pkg/errors"
	"gopkg.in/ini.v1"
)

// entryHeaderPattern matches the section header of an entry, without brackets.
var entryHeaderPattern = regexp.MustCompile(`^(zone|team|key|queue) "([^"]*)"$`)

// Parse reads the text of a configuration. Keys that are left out get their
// defaults; the result is canonical and passes Validate. The error is an
// Errors that lists every error found.
func Parse(text string) (*Config, error) {
	if len(text) > MaxTextBytes {
		return nil, Errors{tooLargeError(len(text))}
	}
	file, err := inifile.Load(text)
	if err != nil {
		return nil, Errors{syntaxError(err)}
	}
	p := &parser{file: file, sectionCount: map[string]int{}}
	config := p.parse()
	if len(p.errs) > 0 {
		return nil, p.errs
	}
	return p.validate(config)
}

// syntaxError converts an error of the INI library.
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

// parser collects the entries and errors of one text.
type parser struct {
	file *inifile.File
	// sectionCount counts the sections of each name.
	sectionCount map[string]int
	config       Config
	errs         Errors
	// endSeen is set when the section [end] has been read.
	endSeen bool
	// entryCount is the number of sections before [end].
	entryCount int
}

func (p *parser) addError(kind ErrorKind, section, key string, line int, rule, remedy string) {
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
	if !p.endSeen {
		p.addError(KindTruncated, "", "", 0, "the text ends without its [end] section",
			"publish the whole text that Print or 'bluebellstile config print' wrote")
	}
	return p.config.Canonical()
}

func (p *parser) parseSection(section *ini.Section) {
	name := section.Name()
	if name == ini.DefaultSection {
		p.rejectKeysOutsideSections(section)
		return
	}
	line := p.file.SectionLine(name, p.sectionCount[name])
	p.sectionCount[name]++
	if p.sectionCount[name] > 1 {
		p.addError(KindDuplicateSection, name, "", line, "the section appears twice", "merge the two or rename one")
		return
	}
	if p.endSeen {
		p.addError(KindUnknownSection, name, "", line, "the section is after [end]", "move it before [end]")
		return
	}
	if name == sectionEnd {
		p.parseEnd(section)
		return
	}
	p.entryCount++
	p.parseEntry(section, line)
}

// rejectKeysOutsideSections reports an error for every key before the first
// section.
func (p *parser) rejectKeysOutsideSections(section *ini.Section) {
	for _, key := range section.Keys() {
		p.addError(KindUnknownKey, "", key.Name(), p.file.KeyLine("", key.Name()), "the key is outside of any section",
			"move it below its section header")
	}
}

// parseEntry adds the entry that the section describes to the configuration.
func (p *parser) parseEntry(section *ini.Section, line int) {
	match := entryHeaderPattern.FindStringSubmatch(section.Name())
	if match == nil {
		p.addError(KindUnknownSection, section.Name(), "", line, "there is no such section",
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

// parseFields returns t, which holds the defaults, with the values of the
// section's keys.
func parseFields[T any](p *parser, section *ini.Section, fields []field[T], t T) T {
	known := map[string]bool{}
	for _, f := range fields {
		known[f.name] = true
		if !section.HasKey(f.name) {
			p.checkRequired(section, f.name, f.required)
			continue
		}
		p.rejectRepeated(section, f.name)
		if err := f.parse(&t, section.Key(f.name).Value()); err != nil {
			p.addError(KindBadValue, section.Name(), f.name, p.file.KeyLine(section.Name(), f.name), err.Error(), "set "+f.name+" ("+f.doc+")")
			continue
		}
		p.rejectZero(section, f.name, f.print(&t), zeroMeansDefault[f.name])
	}
	p.rejectUnknownKeys(section, known)
	return t
}

// zeroMeansDefault lists the keys whose zero value stands for a default in
// Config. A zero in the text would silently turn into that default.
var zeroMeansDefault = map[string]bool{
	"class":           true,
	"deadline":        true,
	"max_waiting":     true,
	"spill":           true,
	"start_objective": true,
	"start_target":    true,
}

// rejectZero reports an error if the key has a default and the printed value
// is zero.
func (p *parser) rejectZero(section *ini.Section, key, printed string, hasDefault bool) {
	if !hasDefault {
		return
	}
	switch printed {
	case "", "0", "0s", "-0":
		p.addError(KindRange, section.Name(), key, p.file.KeyLine(section.Name(), key), "the value is zero",
			"set a value above zero, or remove the line to use the default")
	}
}

// checkRequired reports a key that is left out if it is required.
func (p *parser) checkRequired(section *ini.Section, key string, required bool) {
	if !required {
		return
	}
	p.addError(KindMissingKey, section.Name(), key, p.file.SectionLine(section.Name(), 0), "the key is missing", "add it")
}

// rejectRepeated reports an error if the key appears more than once.
func (p *parser) rejectRepeated(section *ini.Section, key string) {
	if !inifile.Repeated(section, key) {
		return
	}
	p.addError(KindDuplicateKey, section.Name(), key, p.file.KeyLine(section.Name(), key), "the key appears twice", "remove one of the two lines")
}

// rejectUnknownKeys reports an error for every key of the section that isn't
// in known.
func (p *parser) rejectUnknownKeys(section *ini.Section, known map[string]bool) {
	for _, key := range section.KeyStrings() {
		if known[key] {
			continue
		}
		p.addError(KindUnknownKey, section.Name(), key, p.file.KeyLine(section.Name(), key), "there is no such key",
			"correct its spelling or remove the line; the header comment of 'bluebellstile config print' lists every key")
	}
}

// parseEnd checks the number of sections that the section [end] states.
func (p *parser) parseEnd(section *ini.Section) {
	p.endSeen = true
	p.rejectUnknownKeys(section, map[string]bool{keySections: true})
	p.checkRequired(section, keySections, !section.HasKey(keySections))
	value := section.Key(keySections).Value()
	if section.HasKey(keySections) && value != strconv.Itoa(p.entryCount) {
		p.addError(KindTruncated, sectionEnd, keySections, p.file.KeyLine(sectionEnd, keySections),
			fmt.Sprintf("the text states %q sections and has %d", value, p.entryCount),
			"publish the whole text, or correct the count after editing by hand")
	}
}

// validate calls Validate and adds line numbers to its errors.
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
