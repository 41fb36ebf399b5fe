package operator

import (
	"strings"
)

// lineIndex finds the lines of sections and keys, which the INI library
// doesn't report. It serves messages only.
type lineIndex struct {
	sections map[string][]int
	// keys maps a section and a key to the last line where the key stands.
	keys map[[2]string]int
}

// indexLines notes where section headers and keys stand in text.
func indexLines(text string) lineIndex {
	index := lineIndex{sections: map[string][]int{}, keys: map[[2]string]int{}}
	section, number := "", 0
	for line := range strings.Lines(text) {
		number++
		line = strings.TrimSpace(line)
		if end := strings.LastIndexByte(line, ']'); end > 0 && line[0] == '[' {
			section = line[1:end]
			index.sections[section] = append(index.sections[section], number)
			continue
		}
		if key, _, ok := strings.Cut(line, "="); ok {
			index.keys[[2]string{section, strings.TrimSpace(key)}] = number
		}
	}
	return index
}

// section returns the line of the nth header of name, 0 if it isn't known.
func (x lineIndex) section(name string, nth int) int {
	if nth >= len(x.sections[name]) {
		return 0
	}
	return x.sections[name][nth]
}

// key returns the line of a key, 0 if it isn't known.
func (x lineIndex) key(section, key string) int {
	return x.keys[[2]string{section, key}]
}

// find returns the line of a key, else of its section, else 0.
func (x lineIndex) find(section, key string) int {
	if line := x.key(section, key); line > 0 {
		return line
	}
	return x.section(section, 0)
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
