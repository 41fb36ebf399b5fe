package main

import (
	"fmt"
	"strconv"
	"strings"
	"time"
	"unicode"
	"unicode/utf8"
)

// plural returns "1 zone" or "2 zones".
func plural(n int, noun string) string {
	if n == 1 {
		return "1 " + noun
	}
	return strconv.Itoa(n) + " " + noun + "s"
}

// previewRunes bounds an output in a table.
const previewRunes = 60

// preview returns the beginning of an output as one printable line.
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

// micros writes a latency for people.
func micros(us int64) string {
	return (time.Duration(us) * time.Microsecond).String()
}

// dash returns "-" for an empty cell.
func dash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}

// versionText writes a version, "-" for none.
func versionText(version uint64) string {
	if version == 0 {
		return "-"
	}
	return strconv.FormatUint(version, 10)
}
