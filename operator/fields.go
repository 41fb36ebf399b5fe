package operator

import (
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Kinds of sections in the canonical text.
const (
	sectionZone  = "zone"
	sectionTeam  = "team"
	sectionKey   = "key"
	sectionQueue = "queue"
)

// field describes one key of a section and how its value is printed from and
// parsed into an entry of type T.
type field[T any] struct {
	name string
	// doc explains the key in the header comment and in remedies.
	doc      string
	required bool
	print    func(*T) string
	parse    func(*T, string) error
	// note returns the comment that Print writes above the key, or "". It is
	// nil for keys that never have one.
	note func(*T) string
}

var zoneFields = []field[Zone]{
	stringField("region", "region that the zone is in", true, func(z *Zone) *string { return &z.Region }),
	boolField("drain", "true: place no new work in the zone", func(z *Zone) *bool { return &z.Drain }),
}

var teamFields = []field[Team]{
	required(intField("share", "weight of the team when the cell is full", func(t *Team) *int64 { return &t.Share })),
	required(intField("upper_limit", "most tasks running over the whole fleet", func(t *Team) *int64 { return &t.UpperLimit })),
}

var keyFields = []field[Key]{
	stringField("team", "team whose work the key admits; may be empty on an operator key", false, func(k *Key) *string { return &k.Team }),
	stringField("sha256", "hexadecimal SHA-256 of the secret", true, func(k *Key) *string { return &k.SHA256 }),
	boolField("operator", "true: admits to the administration interface", func(k *Key) *bool { return &k.Operator }),
	boolField("withdrawn", "true: refused everywhere", func(k *Key) *bool { return &k.Withdrawn }),
}

var queueFields = []field[Queue]{
	stringField("class", "urgent, service or batch", false, func(q *Queue) *Class { return &q.Class }),
	intField("priority", "order among queues of one class, higher first", func(q *Queue) *int { return &q.Priority }),
	listField("teams", "teams that may submit, separated by commas; empty: every team", func(q *Queue) *[]string { return &q.Teams }),
	boolField("open", "true: accepts work without a key", func(q *Queue) *bool { return &q.Open }),
	stringField("open_team", "team charged for work without a key", false, func(q *Queue) *string { return &q.OpenTeam }),
	boolField("idempotent", "default for requests that don't state it", func(q *Queue) *bool { return &q.Idempotent }),
	boolField("preemptible", "true: may be checkpointed and stopped for higher classes", func(q *Queue) *bool { return &q.Preemptible }),
	durationField("deadline", "longest wait for an answer", func(q *Queue) *time.Duration { return &q.Deadline }),
	intField("retry_budget", "most further attempts at a failed idempotent task", func(q *Queue) *int { return &q.RetryBudget }),
	intField("max_waiting", "most requests waiting in one zone", func(q *Queue) *int { return &q.MaxWaiting }),
	stringField("spill", "stay, region or any: where work may go when its zone is full", false, func(q *Queue) *Spill { return &q.Spill }),
	withNote(durationField("key_grace", "how long keyed work is accepted on doubt about the configuration", func(q *Queue) *time.Duration { return &q.KeyGrace }), keyGraceNote),
	boolField("runner", "true: service runners run the work; false: workers", func(q *Queue) *bool { return &q.Runner }),
	durationField("start_objective", "start_target of the work starts within this time", func(q *Queue) *time.Duration { return &q.StartObjective }),
	floatField("start_target", "fraction between 0 and 1", func(q *Queue) *float64 { return &q.StartTarget }),
}

// keyGraceNote warns how long a withdrawn key may go on working if the queue
// has a key grace.
func keyGraceNote(q *Queue) string {
	if q.KeyGrace <= 0 {
		return ""
	}
	return "A withdrawn key may go on working for " + q.KeyGrace.String() + " in a zone that is cut off."
}

func required[T any](f field[T]) field[T] {
	f.required = true
	return f
}

func withNote[T any](f field[T], note func(*T) string) field[T] {
	f.note = note
	return f
}

// stringField returns a field for a string. ptr returns the address of the
// value in the entry, here and in the functions below.
func stringField[T any, S ~string](name, doc string, required bool, ptr func(*T) *S) field[T] {
	return field[T]{
		name:     name,
		doc:      doc,
		required: required,
		print:    func(t *T) string { return string(*ptr(t)) },
		parse: func(t *T, text string) error {
			*ptr(t) = S(text)
			return nil
		},
	}
}

// boolField returns a field for true or false.
func boolField[T any](name, doc string, ptr func(*T) *bool) field[T] {
	return field[T]{
		name:  name,
		doc:   doc,
		print: func(t *T) string { return strconv.FormatBool(*ptr(t)) },
		parse: func(t *T, text string) error {
			if text != "true" && text != "false" {
				return errors.Errorf("%q is neither true nor false", text)
			}
			*ptr(t) = text == "true"
			return nil
		},
	}
}

// intField returns a field for a whole number that fits into N.
func intField[T any, N int | int64](name, doc string, ptr func(*T) *N) field[T] {
	return field[T]{
		name:  name,
		doc:   doc,
		print: func(t *T) string { return strconv.FormatInt(int64(*ptr(t)), 10) },
		parse: func(t *T, text string) error {
			n, err := strconv.ParseInt(text, 10, 64)
			if err != nil || int64(N(n)) != n {
				return errors.Errorf("%q is not a whole number without a unit", text)
			}
			*ptr(t) = N(n)
			return nil
		},
	}
}

// floatField returns a field for a floating-point number.
func floatField[T any](name, doc string, ptr func(*T) *float64) field[T] {
	return field[T]{
		name:  name,
		doc:   doc,
		print: func(t *T) string { return strconv.FormatFloat(*ptr(t), 'g', -1, 64) },
		parse: func(t *T, text string) error {
			x, err := strconv.ParseFloat(text, 64)
			if err != nil {
				return errors.Errorf("%q is not a number without a unit", text)
			}
			*ptr(t) = x
			return nil
		},
	}
}

// durationField returns a field for a duration with a unit.
func durationField[T any](name, doc string, ptr func(*T) *time.Duration) field[T] {
	return field[T]{
		name:  name,
		doc:   doc,
		print: func(t *T) string { return ptr(t).String() },
		parse: func(t *T, text string) error {
			d, err := time.ParseDuration(text)
			if err != nil {
				return errors.Errorf("%q is not a duration with a unit, such as 500ms, 30s or 2h", text)
			}
			*ptr(t) = d
			return nil
		},
	}
}

// listField returns a field for a comma-separated list of names.
func listField[T any](name, doc string, ptr func(*T) *[]string) field[T] {
	return field[T]{
		name:  name,
		doc:   doc,
		print: func(t *T) string { return strings.Join(*ptr(t), ", ") },
		parse: func(t *T, text string) error {
			*ptr(t) = splitNames(text)
			return nil
		},
	}
}

// splitNames splits a comma-separated list. It returns nil for an empty text.
func splitNames(text string) []string {
	if text == "" {
		return nil
	}
	names := strings.Split(text, ",")
	for i := range names {
		names[i] = strings.TrimSpace(names[i])
	}
	return names
}
