package config

import (
	"bytes"
	"crypto/sha256"
	"strings"

	"github.com/bluebellstile/bluebellstile/internal/record"
)

// patchChecksumBytes is the length of the checksum of a patched text.
const patchChecksumBytes = 16

// NewPatch returns the change from base to next in units of whole sections. An
// operator's usual change touches one section among hundreds. Every daemon reads
// each record, and with thousands of changes a day, records with the whole text
// would use up most of each daemon's budget of control traffic.
func NewPatch(base, next string) *record.ConfigPatch {
	old := sections(base)
	firstIndex := make(map[string]int, len(old))
	for i := len(old) - 1; i >= 0; i-- {
		firstIndex[old[i]] = i
	}
	patch := &record.ConfigPatch{Checksum: textChecksum(next)}
	for _, section := range sections(next) {
		patch.Segments = appendSection(patch.Segments, old, firstIndex, section)
	}
	return patch
}

// appendSection adds a section to the last segment if it continues that one,
// else as a new segment. firstIndex maps each section to its first index in
// base.
func appendSection(segments []record.PatchSegment, base []string, firstIndex map[string]int, section string) []record.PatchSegment {
	var last record.PatchSegment
	if len(segments) > 0 {
		last = segments[len(segments)-1]
	}
	next := last.Start + last.Count
	start, known := firstIndex[section]
	switch {
	case last.Count > 0 && next < len(base) && base[next] == section:
		segments[len(segments)-1].Count++
	case known:
		segments = append(segments, record.PatchSegment{Start: start, Count: 1})
	case last.Text != "" && last.Count == 0:
		segments[len(segments)-1].Text += section
	default:
		segments = append(segments, record.PatchSegment{Text: section})
	}
	return segments
}

// ApplyPatch applies a patch to base and returns the resulting text. Its error
// is a *record.Void.
func ApplyPatch(base string, patch *record.ConfigPatch) (string, error) {
	old := sections(base)
	var b strings.Builder
	for _, segment := range patch.Segments {
		if segment.Start < 0 || segment.Count < 0 || segment.Start > len(old) || segment.Count > len(old)-segment.Start {
			return "", errPatchMismatch()
		}
		b.WriteString(segment.Text)
		for _, section := range old[segment.Start : segment.Start+segment.Count] {
			b.WriteString(section)
		}
		if b.Len() > record.MaxBytes {
			return "", errPatchMismatch()
		}
	}
	if text := b.String(); bytes.Equal(textChecksum(text), patch.Checksum) {
		return text, nil
	}
	return "", errPatchMismatch()
}

// errPatchMismatch is the error of a patch that does not fit its base.
func errPatchMismatch() error {
	return record.NewVoid(record.VoidInvalid, "the patch does not apply to the text of its base version; publish the change again")
}

// sections splits a text before each line that begins with "[", other than the
// first. The parts join to the whole text.
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

// textChecksum identifies a text.
func textChecksum(text string) []byte {
	sum := sha256.Sum256([]byte(text))
	return sum[:patchChecksumBytes]
}
