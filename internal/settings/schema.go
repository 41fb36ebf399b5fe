package settings

import "fmt"

// Key describes one key of a settings file that fills a T.
type Key[T any] struct {
	Section string
	Name    string
	// Type is what the value is, with its unit.
	Type string
	// Default is the value of a key that is left out.
	Default string
	// Required keys have no default; Example shows one in the sample.
	Required bool
	Example  string
	// Range is what values are accepted.
	Range string
	// Reloadable keys take effect at run time, without a restart.
	Reloadable bool
	Doc        string

	parse  func(*T, string) error
	format func(*T) string
}

// FullName returns section.name.
func (k *Key[T]) FullName() string {
	return k.Section + "." + k.Name
}

// Schema describes a settings file that fills a T.
type Schema[T any] struct {
	// program reads the file, command prints a sample of it, and source is
	// where the keys are declared.
	program string
	command string
	source  string
	// intro begins the reference page.
	intro string
	// keys are in the order of the sample file.
	keys []Key[T]
	// conflicts reports values that don't go together; it may be nil.
	conflicts func(*T) Errors
}

// find returns the key of a section, nil if there is none.
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

// defaults returns the defaults; keys without one are empty.
func (s *Schema[T]) defaults() *T {
	out := new(T)
	for i := range s.keys {
		k := &s.keys[i]
		if k.Default == "" {
			continue
		}
		if err := k.parse(out, k.Default); err != nil {
			panic("settings: the default of " + k.FullName() + " is refused: " + err.Error())
		}
	}
	return out
}

// check reports every value that its key refuses and every conflict between
// keys, as Errors.
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

// reload returns a copy of t with the reloadable keys of next, and the names of
// other keys that differ and need a restart of the daemon.
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
