package settings

import (
	"fmt"
	"strings"
)

// Sample returns a settings file with every key, its description and its
// default.
func Sample() string {
	var b strings.Builder
	b.WriteString("# Settings of bluebellstiled. Durations are written as 500ms, 30s or 2h.\n")
	section := ""
	for i := range table {
		k := &table[i]
		if k.Section != section {
			section = k.Section
			fmt.Fprintf(&b, "\n[%s]\n", section)
		}
		b.WriteString(k.sample())
	}
	b.WriteString("\n# Shows that the file wasn't cut off.\n[end]\n")
	return b.String()
}

// sample returns the lines of one key. A key whose default is empty is
// commented out.
func (k *Key) sample() string {
	value, lead := k.Default, ""
	switch {
	case k.Required:
		value = k.Example
	case k.Default == "":
		lead = "# "
	}
	line := strings.TrimRight(fmt.Sprintf("%s%s = %s", lead, k.Name, value), " ")
	return fmt.Sprintf("# %s\n# %s: %s. %s.\n%s\n", k.Doc, k.Type, k.Range, k.reload(), line)
}

func (k *Key) reload() string {
	if k.Reloadable {
		return "Reloadable"
	}
	return "Needs a restart"
}

// Document returns the reference page of the settings, in Markdown.
func Document() string {
	var b strings.Builder
	b.WriteString("# Settings of bluebellstiled\n\n" +
		"<!-- Generated from internal/settings/table.go by: go test ./internal/settings -update -->\n\n" +
		"The daemon reads one INI file, named by `-config`. `bluebellstile settings sample` writes one with every\n" +
		"key and `bluebellstile settings check FILE` checks one. Unknown sections and keys, bad units, values out of\n" +
		"range, keys that stand twice and listen addresses that overlap are refused, each with file, line and remedy.\n" +
		"The file ends with the line `[end]`, without which it counts as cut off. Reloadable keys take effect when the\n" +
		"daemon reads its file again; the others need a restart.\n")
	section := ""
	for i := range table {
		k := &table[i]
		if k.Section != section {
			section = k.Section
			fmt.Fprintf(&b, "\n## [%s]\n\n| key | type | default | range | reloadable | meaning |\n| --- | --- | --- | --- | --- | --- |\n", section)
		}
		b.WriteString(k.row())
	}
	return b.String()
}

// row returns the key's row of the reference page.
func (k *Key) row() string {
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
