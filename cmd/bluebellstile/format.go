package main

import (
	"fmt"
	"strconv"
	"strings"
	"time"
	"unicode"
	"unicode/utf8"
)

// plural returns a count with its noun, such as "1 zone" or "2 zones".
func plural(n int, noun string) string {
	if n == 1 {
		return "1 " + noun
	}
	return strconv.Itoa(n) + " " + noun + "s"
}

// previewRunes bounds the length of a task's output in a table.
const previewRunes = 60

// preview returns the beginning of a task's output as one printable line, or its
// size if it isn't text.
func preview(data []byte) string {
	if !utf8.Valid(data) {
		return fmt.Sprintf("(%d bytes)", len(data))
	}
	line, rest, _ := strings.Cut(strings.TrimSpace(string(data)), "\n")
	runes := []rune(line)
	cut := rest != "" || len(runes) > previewRunes
	runes = runes[:min(len(runes), previewRunes)]
	for i, r := range runes {
		if !unicode.IsPrint(r) {
			runes[i] = ' '
		}
	}
	if cut {
		return string(runes) + "..."
	}
	return string(runes)
}

// formatMicros formats a latency in microseconds.
func formatMicros(us int64) string {
	return (time.Duration(us) * time.Microsecond).String()
}

// orDash returns text, or "-" for an empty table cell.
func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}

// formatVersion formats a version or an epoch, with "-" for 0.
func formatVersion(version uint64) string {
	if version == 0 {
		return "-"
	}
	return strconv.FormatUint(version, 10)
}
