package settings

import (
	"fmt"
	"log/slog"
	"math"
	"net/netip"
	"net/url"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// namePattern is the form of names, the same as in the configuration.
var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9_-]{0,62}$`)

func required[T any](k Key[T], example string) Key[T] {
	k.Required = true
	k.Example = example
	return k
}

func reloadable[T any](k Key[T]) Key[T] {
	k.Reloadable = true
	return k
}

// textKey returns a key for a string that check accepts.
func textKey[T any, S ~string](section, name, doc string, check func(string) error, at func(*T) *S) Key[T] {
	return Key[T]{
		Section: section,
		Name:    name,
		Doc:     doc,
		format:  func(s *T) string { return string(*at(s)) },
		parse: func(s *T, text string) error {
			if err := check(text); err != nil {
				return err
			}
			*at(s) = S(text)
			return nil
		},
	}
}

func name[T any](section, key, doc string, at func(*T) *string) Key[T] {
	k := textKey(section, key, doc, checkName, at)
	k.Type = "name"
	k.Range = "1 to 63 lower-case letters, digits, '-' or '_'"
	return k
}

func checkName(text string) error {
	if !namePattern.MatchString(text) {
		return errors.Errorf("%q is not a name", text)
	}
	return nil
}

func address[T any](section, key, fallback, doc string, at func(*T) *string) Key[T] {
	k := textKey(section, key, doc, checkAddress, at)
	k.Type = "address"
	k.Default = fallback
	k.Range = "IP number and port from 1, such as 192.0.2.1:7400 or [2001:db8::1]:7400"
	return k
}

func checkAddress(text string) error {
	a, err := netip.ParseAddrPort(text)
	if err != nil || a.Port() == 0 {
		return errors.Errorf("%q is not an IP number with a port", text)
	}
	return nil
}

// peerAddress refuses addresses that no other daemon can connect to.
func peerAddress[T any](k Key[T]) Key[T] {
	parse := k.parse
	k.Range += "; not 0.0.0.0 or ::"
	k.parse = func(s *T, text string) error {
		a, err := netip.ParseAddrPort(text)
		if err == nil && a.Addr().IsUnspecified() {
			return errors.Errorf("%q names no single instance", text)
		}
		return parse(s, text)
	}
	return k
}

func link[T any](section, key, doc string, at func(*T) *string) Key[T] {
	k := textKey(section, key, doc, checkURL, at)
	k.Type = "URL"
	k.Range = "http or https, with a host and without query"
	return k
}

func checkURL(text string) error {
	u, err := url.Parse(text)
	if err != nil {
		return errors.Errorf("%q is not a URL", text)
	}
	if u.Scheme != "http" && u.Scheme != "https" {
		return errors.Errorf("%q is neither http nor https", text)
	}
	if u.Host == "" || u.RawQuery != "" || u.Fragment != "" {
		return errors.Errorf("%q is not a base URL", text)
	}
	return nil
}

func path[T any](section, key, doc string, at func(*T) *string) Key[T] {
	k := textKey(section, key, doc, checkPath, at)
	k.Type = "file"
	k.Range = "absolute path, or empty"
	return k
}

func checkPath(text string) error {
	if text != "" && !filepath.IsAbs(text) {
		return errors.Errorf("%q is not an absolute path", text)
	}
	return nil
}

func choice[T any, S ~string](section, key string, options []string, doc string, at func(*T) *S) Key[T] {
	check := func(text string) error {
		if !slices.Contains(options, text) {
			return errors.Errorf("%q is not one of %s", text, strings.Join(options, ", "))
		}
		return nil
	}
	k := textKey(section, key, doc, check, at)
	k.Type = "choice"
	k.Default = options[0]
	k.Range = strings.Join(options, ", ")
	return k
}

// levels are the log levels, from the one that logs most.
var levels = []slog.Level{slog.LevelDebug, slog.LevelInfo, slog.LevelWarn, slog.LevelError}

func level[T any](section, key, fallback, doc string, at func(*T) *slog.Level) Key[T] {
	return Key[T]{
		Section: section,
		Name:    key,
		Type:    "choice",
		Default: fallback,
		Range:   "debug, info, warn, error",
		Doc:     doc,
		format:  func(s *T) string { return strings.ToLower(at(s).String()) },
		parse: func(s *T, text string) error {
			for _, l := range levels {
				if text == strings.ToLower(l.String()) {
					*at(s) = l
					return nil
				}
			}
			return errors.Errorf("%q is not one of debug, info, warn, error", text)
		},
	}
}

func duration[T any](section, key string, fallback, lowest, highest time.Duration, doc string, at func(*T) *time.Duration) Key[T] {
	return Key[T]{
		Section: section,
		Name:    key,
		Type:    "duration",
		Default: formatDuration(fallback),
		Range:   formatDuration(lowest) + " to " + formatDuration(highest),
		Doc:     doc,
		format:  func(s *T) string { return formatDuration(*at(s)) },
		parse: func(s *T, text string) error {
			d, err := time.ParseDuration(text)
			if err != nil {
				return errors.Errorf("%q is not a duration with a unit, such as 500ms, 30s or 2h", text)
			}
			if d < lowest || d > highest {
				return outOfRange(text)
			}
			*at(s) = d
			return nil
		},
	}
}

// formatDuration writes a duration without zero units behind the first one.
func formatDuration(d time.Duration) string {
	text := d.String()
	if strings.HasSuffix(text, "m0s") {
		text = strings.TrimSuffix(text, "0s")
	}
	if strings.HasSuffix(text, "h0m") {
		text = strings.TrimSuffix(text, "0m")
	}
	return text
}

func count[T any](section, key, unit string, fallback, lowest, highest int, doc string, at func(*T) *int) Key[T] {
	return Key[T]{
		Section: section,
		Name:    key,
		Type:    "whole number, " + unit,
		Default: strconv.Itoa(fallback),
		Range:   fmt.Sprintf("%d to %d", lowest, highest),
		Doc:     doc,
		format:  func(s *T) string { return strconv.Itoa(*at(s)) },
		parse: func(s *T, text string) error {
			n, err := strconv.Atoi(text)
			if err != nil {
				return errors.Errorf("%q is not a whole number without a unit", text)
			}
			if n < lowest || n > highest {
				return outOfRange(text)
			}
			*at(s) = n
			return nil
		},
	}
}

// rangeError is a well-formed value outside its range.
type rangeError struct {
	text string
}

func (e *rangeError) Error() string {
	return fmt.Sprintf("%q is out of range", e.text)
}

func outOfRange(text string) error {
	return &rangeError{text: text}
}

// percent is how a factor is kept as a whole number.
const percent = 100

// factor returns a key for a number of at least 1 with two decimals.
func factor[T any](section, key, fallback, doc string, at func(*T) *int) Key[T] {
	const largest = 1000
	return decimal(section, key, fallback, doc, percent, percent, largest*percent, at)
}

// milli is how many thousandths there are in one.
const milli = 1000

// thousandths returns a key for a number with three decimals, from lowest to
// highest thousandths.
func thousandths[T any](section, key, fallback, doc string, lowest, highest int, at func(*T) *int) Key[T] {
	return decimal(section, key, fallback, doc, milli, lowest, highest, at)
}

// decimal returns a key for a number that is held as a whole number of parts,
// of which parts make one.
func decimal[T any](section, key, fallback, doc string, parts, lowest, highest int, at func(*T) *int) Key[T] {
	written := func(n int) string { return strconv.FormatFloat(float64(n)/float64(parts), 'f', -1, 64) }
	return Key[T]{
		Section: section,
		Name:    key,
		Type:    "number",
		Default: fallback,
		Range:   written(lowest) + " to " + written(highest),
		Doc:     doc,
		format:  func(s *T) string { return written(*at(s)) },
		parse: func(s *T, text string) error {
			f, err := strconv.ParseFloat(text, 64)
			if err != nil {
				return errors.Errorf("%q is not a number", text)
			}
			if n := f * float64(parts); !(n >= float64(lowest) && n <= float64(highest)) {
				return outOfRange(text)
			}
			*at(s) = int(math.Round(f * float64(parts)))
			return nil
		},
	}
}
