package settings

import "fmt"

// Key describes one key of a settings file that fills a T.
type Key[T any] struct {
	Section string
	Name    string
	// Type describes the type of the value and its unit.
	Type string
	// Default is the value of a key that the file leaves out.
	Default string
	// Required keys have no default. Example is their value in the sample
	// file.
	Required bool
	Example  string
	// Range describes the accepted values.
	Range string
	// Reloadable keys take effect at run time, without a restart.
	Reloadable bool
	// Doc describes the key in the sample file and on the reference page.
	Doc string

	// parse sets the value in a T; it returns an error and sets nothing if
	// the text is invalid.
	parse func(*T, string) error
	// format returns the value in a T as parse accepts it.
	format func(*T) string
}

// FullName returns the section and the name, joined by a dot.
func (k *Key[T]) FullName() string {
	return k.Section + "." + k.Name
}

// Schema describes a settings file that fills a T.
type Schema[T any] struct {
	// program is the program that reads the file, command prints a sample of
	// it, and source is the Go file that declares the keys.
	program string
	command string
	source  string
	// intro is the introduction of the reference page.
	intro string
	// keys lists the keys in the order of the sample file.
	keys []Key[T]
	// conflicts reports values that contradict each other; it may be nil.
	conflicts func(*T) Errors
}

// find returns the key with the section and name, or nil if there is none.
func (s *Schema[T]) find(section, name string) *Key[T] {
	for i := range s.keys {
		if s.keys[i].Section == section && s.keys[i].Name == name {
			return &s.keys[i]
		}
	}
	return nil
}

// hasSection reports whether any key is in the section.
func (s *Schema[T]) hasSection(section string) bool {
	for i := range s.keys {
		if s.keys[i].Section == section {
			return true
		}
	}
	return false
}

// defaults returns the default settings. Keys without a default are empty.
func (s *Schema[T]) defaults() *T {
	out := new(T)
	for i := range s.keys {
		k := &s.keys[i]
		if k.Default == "" {
			continue
		}
		if err := k.parse(out, k.Default); err != nil {
			panic("settings: the default of " + k.FullName() + " is invalid: " + err.Error())
		}
	}
	return out
}

// check returns an Errors that lists every invalid value and, if there is
// none, every conflict between keys. It returns nil if t is valid.
func (s *Schema[T]) check(t *T) error {
	var errs Errors
	scratch := *t
	for i := range s.keys {
		k := &s.keys[i]
		if err := k.parse(&scratch, k.format(t)); err != nil {
			errs = append(errs, &Error{
				Kind:    KindBadValue,
				Section: k.Section,
				Key:     k.Name,
				Rule:    err.Error(),
				Remedy:  fmt.Sprintf("set a %s: %s", k.Type, k.Range),
			})
		}
	}
	if len(errs) == 0 && s.conflicts != nil {
		errs = s.conflicts(t)
	}
	if len(errs) > 0 {
		return errs
	}
	return nil
}

// reload returns a copy of t with the reloadable keys of next, and the full
// names of the other keys that differ, which need a restart of the daemon.
func (s *Schema[T]) reload(t, next *T) (*T, []string) {
	out := *t
	var restart []string
	for i := range s.keys {
		k := &s.keys[i]
		value := k.format(next)
		if value == k.format(t) {
			continue
		}
		if !k.Reloadable {
			restart = append(restart, k.FullName())
			continue
		}
		if err := k.parse(&out, value); err != nil {
			restart = append(restart, k.FullName())
		}
	}
	return &out, restart
}
