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

// namePattern matches valid names; it is the same as in the configuration.
var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9_-]{0,62}$`)

// required returns k as a key without a default, with an example for the
// sample file.
func required[T any](k Key[T], example string) Key[T] {
	k.Required = true
	k.Example = example
	return k
}

// reloadable returns k as a key that takes effect without a restart.
func reloadable[T any](k Key[T]) Key[T] {
	k.Reloadable = true
	return k
}

// textKey returns a key for a string that check accepts. ptr returns the
// address of the field that holds the value, here and in the functions below.
func textKey[T any, S ~string](section, name, doc string, check func(string) error, ptr func(*T) *S) Key[T] {
	return Key[T]{
		Section: section,
		Name:    name,
		Doc:     doc,
		format:  func(s *T) string { return string(*ptr(s)) },
		parse: func(s *T, text string) error {
			if err := check(text); err != nil {
				return err
			}
			*ptr(s) = S(text)
			return nil
		},
	}
}

// nameKey returns a key for a name that matches namePattern.
func nameKey[T any](section, key, doc string, ptr func(*T) *string) Key[T] {
	k := textKey(section, key, doc, checkName, ptr)
	k.Type = "name"
	k.Range = "1 to 63 lower-case letters, digits, '-' or '_'"
	return k
}

func checkName(text string) error {
	if !namePattern.MatchString(text) {
		return errors.Errorf("%q is not a valid name", text)
	}
	return nil
}

// addressKey returns a key for an IP address with a port.
func addressKey[T any](section, key, defaultValue, doc string, ptr func(*T) *string) Key[T] {
	k := textKey(section, key, doc, checkAddress, ptr)
	k.Type = "address"
	k.Default = defaultValue
	k.Range = "IP address and port from 1, such as 192.0.2.1:7400 or [2001:db8::1]:7400"
	return k
}

func checkAddress(text string) error {
	a, err := netip.ParseAddrPort(text)
	if err != nil || a.Port() == 0 {
		return errors.Errorf("%q is not an IP address with a port", text)
	}
	return nil
}

// rejectUnspecified returns k with a parser that rejects unspecified IP
// addresses, which no other daemon can connect to.
func rejectUnspecified[T any](k Key[T]) Key[T] {
	parse := k.parse
	k.Range += "; not 0.0.0.0 or ::"
	k.parse = func(s *T, text string) error {
		a, err := netip.ParseAddrPort(text)
		if err == nil && a.Addr().IsUnspecified() {
			return errors.Errorf("%q is the unspecified address, which other daemons can't connect to", text)
		}
		return parse(s, text)
	}
	return k
}

// urlKey returns a key for an HTTP or HTTPS base URL.
func urlKey[T any](section, key, doc string, ptr func(*T) *string) Key[T] {
	k := textKey(section, key, doc, checkURL, ptr)
	k.Type = "URL"
	k.Range = "http or https, with a host and without a query"
	return k
}

func checkURL(text string) error {
	u, err := url.Parse(text)
	if err != nil {
		return errors.Errorf("%q is not a URL", text)
	}
	if u.Scheme != "http" && u.Scheme != "https" {
		return errors.Errorf("%q has neither the scheme http nor https", text)
	}
	if u.Host == "" || u.RawQuery != "" || u.Fragment != "" {
		return errors.Errorf("%q is not a base URL: it lacks a host, or has a query or a fragment", text)
	}
	return nil
}

// pathKey returns a key for an absolute path, which may be empty.
func pathKey[T any](section, key, doc string, ptr func(*T) *string) Key[T] {
	k := textKey(section, key, doc, checkPath, ptr)
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

// switchKey returns a key that turns a part on, its default, or off.
func switchKey[T any](section, key, doc string, ptr func(*T) *Switch) Key[T] {
	return choiceKey(section, key, []string{string(On), string(Off)}, doc, ptr)
}

// choiceKey returns a key for one of the options; the first is the default.
func choiceKey[T any, S ~string](section, key string, options []string, doc string, ptr func(*T) *S) Key[T] {
	check := func(text string) error {
		if !slices.Contains(options, text) {
			return errors.Errorf("%q is not one of %s", text, strings.Join(options, ", "))
		}
		return nil
	}
	k := textKey(section, key, doc, check, ptr)
	k.Type = "choice"
	k.Default = options[0]
	k.Range = strings.Join(options, ", ")
	return k
}

// levels lists the log levels, the most verbose first.
var levels = []slog.Level{slog.LevelDebug, slog.LevelInfo, slog.LevelWarn, slog.LevelError}

// levelKey returns a key for a log level.
func levelKey[T any](section, key, defaultValue, doc string, ptr func(*T) *slog.Level) Key[T] {
	return Key[T]{
		Section: section,
		Name:    key,
		Type:    "choice",
		Default: defaultValue,
		Range:   "debug, info, warn, error",
		Doc:     doc,
		format:  func(s *T) string { return strings.ToLower(ptr(s).String()) },
		parse: func(s *T, text string) error {
			for _, l := range levels {
				if text == strings.ToLower(l.String()) {
					*ptr(s) = l
					return nil
				}
			}
			return errors.Errorf("%q is not one of debug, info, warn, error", text)
		},
	}
}

// durationKey returns a key for a duration from lowest to highest.
func durationKey[T any](section, key string, defaultValue, lowest, highest time.Duration, doc string, ptr func(*T) *time.Duration) Key[T] {
	return Key[T]{
		Section: section,
		Name:    key,
		Type:    "duration",
		Default: formatDuration(defaultValue),
		Range:   formatDuration(lowest) + " to " + formatDuration(highest),
		Doc:     doc,
		format:  func(s *T) string { return formatDuration(*ptr(s)) },
		parse: func(s *T, text string) error {
			d, err := time.ParseDuration(text)
			if err != nil {
				return errors.Errorf("%q is not a duration with a unit, such as 500ms, 30s or 2h", text)
			}
			if d < lowest || d > highest {
				return outOfRange(text)
			}
			*ptr(s) = d
			return nil
		},
	}
}

// formatDuration formats a duration without trailing zero units: 10m instead
// of 10m0s.
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

// countKey returns a key for a whole number from lowest to highest.
func countKey[T any](section, key, unit string, defaultValue, lowest, highest int, doc string, ptr func(*T) *int) Key[T] {
	return Key[T]{
		Section: section,
		Name:    key,
		Type:    "whole number, " + unit,
		Default: strconv.Itoa(defaultValue),
		Range:   fmt.Sprintf("%d to %d", lowest, highest),
		Doc:     doc,
		format:  func(s *T) string { return strconv.Itoa(*ptr(s)) },
		parse: func(s *T, text string) error {
			n, err := strconv.Atoi(text)
			if err != nil {
				return errors.Errorf("%q is not a whole number without a unit", text)
			}
			if n < lowest || n > highest {
				return outOfRange(text)
			}
			*ptr(s) = n
			return nil
		},
	}
}

// rangeError reports a well-formed value that is out of its range.
type rangeError struct {
	text string
}

func (e *rangeError) Error() string {
	return fmt.Sprintf("%q is out of range", e.text)
}

func outOfRange(text string) error {
	return &rangeError{text: text}
}

// hundredthsPerUnit is the scale of a factor, which is stored as a whole
// number of hundredths.
const hundredthsPerUnit = 100

// factorKey returns a key for a number from 1 to 1000 with two decimals.
func factorKey[T any](section, key, defaultValue, doc string, ptr func(*T) *int) Key[T] {
	const maxFactor = 1000
	return decimalKey(section, key, defaultValue, doc, hundredthsPerUnit, hundredthsPerUnit, maxFactor*hundredthsPerUnit, ptr)
}

// thousandthsPerUnit is the scale of a number that is stored as a whole number
// of thousandths.
const thousandthsPerUnit = 1000

// thousandthsKey returns a key for a number with three decimals, from lowest to
// highest thousandths.
func thousandthsKey[T any](section, key, defaultValue, doc string, lowest, highest int, ptr func(*T) *int) Key[T] {
	return decimalKey(section, key, defaultValue, doc, thousandthsPerUnit, lowest, highest, ptr)
}

// decimalKey returns a key for a decimal number that is stored as a whole
// number, multiplied by scale. lowest and highest are multiplied too.
func decimalKey[T any](section, key, defaultValue, doc string, scale, lowest, highest int, ptr func(*T) *int) Key[T] {
	// formatScaled formats a stored number as the decimal number.
	formatScaled := func(n int) string { return strconv.FormatFloat(float64(n)/float64(scale), 'f', -1, 64) }
	return Key[T]{
		Section: section,
		Name:    key,
		Type:    "number",
		Default: defaultValue,
		Range:   formatScaled(lowest) + " to " + formatScaled(highest),
		Doc:     doc,
		format:  func(s *T) string { return formatScaled(*ptr(s)) },
		parse: func(s *T, text string) error {
			f, err := strconv.ParseFloat(text, 64)
			if err != nil {
				return errors.Errorf("%q is not a number", text)
			}
			if n := f * float64(scale); !(n >= float64(lowest) && n <= float64(highest)) {
				return outOfRange(text)
			}
			*ptr(s) = int(math.Round(f * float64(scale)))
			return nil
		},
	}
}
