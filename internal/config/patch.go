package config

import (
	"bytes"
	"crypto/sha256"
	"strings"

	"github.com/bluebellstile/bluebellstile/internal/record"
)

// patchSumBytes is the length of the checksum of a patched text.
const patchSumBytes = 16

// NewPatch returns the change from one text to another, in whole sections: an
// operator's usual change touches one section among hundreds, and a record
// with the whole text would cost every daemon its share of the control traffic
// thousands of times a day.
func NewPatch(base, next string) *record.ConfigPatch {
	old := sections(base)
	at := make(map[string]int, len(old))
	for i := len(old) - 1; i >= 0; i-- {
		at[old[i]] = i
	}
	patch := &record.ConfigPatch{Checksum: textSum(next)}
	for _, section := range sections(next) {
		patch.Segments = appendSection(patch.Segments, old, at, section)
	}
	return patch
}

// appendSection adds a section: to the last run if it continues that, else as
// a run of its own. at gives the first place of each section of the base.
func appendSection(runs []record.PatchSegment, base []string, at map[string]int, section string) []record.PatchSegment {
	var last record.PatchSegment
	if len(runs) > 0 {
		last = runs[len(runs)-1]
	}
	next := last.Start + last.Count
	start, known := at[section]
	switch {
	case last.Count > 0 && next < len(base) && base[next] == section:
		runs[len(runs)-1].Count++
	case known:
		runs = append(runs, record.PatchSegment{Start: start, Count: 1})
	case last.Text != "" && last.Count == 0:
		runs[len(runs)-1].Text += section
	default:
		runs = append(runs, record.PatchSegment{Text: section})
	}
	return runs
}

// ApplyPatch returns the text that a patch makes of base; an error is a
// *record.Void.
func ApplyPatch(base string, patch *record.ConfigPatch) (string, error) {
	old := sections(base)
	var b strings.Builder
	for _, run := range patch.Segments {
		if run.Start < 0 || run.Count < 0 || run.Start > len(old) || run.Count > len(old)-run.Start {
			return "", badPatch()
		}
		b.WriteString(run.Text)
		for _, section := range old[run.Start : run.Start+run.Count] {
			b.WriteString(section)
		}
		if b.Len() > record.MaxBytes {
			return "", badPatch()
		}
	}
	if text := b.String(); bytes.Equal(textSum(text), patch.Checksum) {
		return text, nil
	}
	return "", badPatch()
}

// badPatch is the error of a patch that does not fit its base.
func badPatch() error {
	return record.NewVoid(record.VoidInvalid, "the change does not fit the text of the version that it names; publish it again")
}

// sections splits a text before each line that begins with "[".
func sections(text string) []string {
	var out []string
	for text != "" {
		next := strings.Index(text[1:], "\n[")
		if next < 0 {
			return append(out, text)
		}
		cut := next + len("\n") + 1
		out = append(out, text[:cut])
		text = text[cut:]
	}
	return out
}

// textSum identifies a text.
func textSum(text string) []byte {
	sum := sha256.Sum256([]byte(text))
	return sum[:patchSumBytes]
}
