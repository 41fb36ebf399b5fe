package settings

import (
	"fmt"
	"strings"
)

// sample returns a settings file with every key, its description and its
// default.
func (s *Schema[T]) sample() string {
	var b strings.Builder
	fmt.Fprintf(&b, "# Settings of %s. Durations are written as 500ms, 30s or 2h.\n", s.program)
	section := ""
	for i := range s.keys {
		k := &s.keys[i]
		if k.Section != section {
			section = k.Section
			fmt.Fprintf(&b, "\n[%s]\n", section)
		}
		b.WriteString(k.sample())
	}
	b.WriteString("\n# Shows that the file wasn't cut off.\n[end]\n")
	return b.String()
}

// sample returns the lines of the key in the sample file. A key whose default
// is empty is commented out.
func (k *Key[T]) sample() string {
	value, prefix := k.Default, ""
	switch {
	case k.Required:
		value = k.Example
	case k.Default == "":
		prefix = "# "
	}
	line := strings.TrimRight(fmt.Sprintf("%s%s = %s", prefix, k.Name, value), " ")
	return fmt.Sprintf("# %s\n# %s: %s. %s.\n%s\n", k.Doc, k.Type, k.Range, k.reloadNote(), line)
}

// reloadNote says whether a change of the key needs a restart.
func (k *Key[T]) reloadNote() string {
	if k.Reloadable {
		return "Reloadable"
	}
	return "Needs a restart"
}

// document returns the reference page of the settings, in Markdown.
func (s *Schema[T]) document() string {
	var b strings.Builder
	fmt.Fprintf(&b, "# Settings of %s\n\n<!-- Generated from %s by: go test ./internal/settings -update -->\n\n%s", s.program, s.source, s.intro)
	section := ""
	for i := range s.keys {
		k := &s.keys[i]
		if k.Section != section {
			section = k.Section
			fmt.Fprintf(&b, "\n## [%s]\n\n| key | type | default | range | reloadable | meaning |\n| --- | --- | --- | --- | --- | --- |\n", section)
		}
		b.WriteString(k.tableRow())
	}
	return b.String()
}

// tableRow returns the row of the key in the table of its section on the
// reference page.
func (k *Key[T]) tableRow() string {
	value := "`" + k.Default + "`"
	switch {
	case k.Required:
		value = "required"
	case k.Default == "":
		value = "empty"
	}
	reload := "no"
	if k.Reloadable {
		reload = "yes"
	}
	return fmt.Sprintf("| `%s` | %s | %s | %s | %s | %s |\n", k.Name, k.Type, value, k.Range, reload, k.Doc)
}
