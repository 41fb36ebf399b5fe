package operator

import (
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Section kinds of the canonical text.
const (
	sectionZone  = "zone"
	sectionTeam  = "team"
	sectionKey   = "key"
	sectionQueue = "queue"
)

// field describes one key of a section: how it is printed from and parsed
// into the aggregate T.
type field[T any] struct {
	name     string
	doc      string
	required bool
	print    func(*T) string
	parse    func(*T, string) error
	// note returns a comment that Print sets above the key, if any.
	note func(*T) string
}

var zoneFields = []field[Zone]{
	textField("region", "region that the zone is in", true, func(z *Zone) *string { return &z.Region }),
	boolField("drain", "true: place no new work in the zone", func(z *Zone) *bool { return &z.Drain }),
}

var teamFields = []field[Team]{
	required(intField("share", "weight of the team when the cell is full", func(t *Team) *int64 { return &t.Share })),
	required(intField("upper_limit", "most tasks running over the whole fleet", func(t *Team) *int64 { return &t.UpperLimit })),
}

var keyFields = []field[Key]{
	textField("team", "team whose work the key admits; may be empty on an operator key", false, func(k *Key) *string { return &k.Team }),
	textField("sha256", "hexadecimal SHA-256 of the secret", true, func(k *Key) *string { return &k.SHA256 }),
	boolField("operator", "true: admits to the administration interface", func(k *Key) *bool { return &k.Operator }),
	boolField("withdrawn", "true: refused everywhere", func(k *Key) *bool { return &k.Withdrawn }),
}

var queueFields = []field[Queue]{
	textField("class", "urgent, service or batch", false, func(q *Queue) *Class { return &q.Class }),
	intField("priority", "order among queues of one class, higher first", func(q *Queue) *int { return &q.Priority }),
	listField("teams", "teams that may submit, separated by commas; empty: every team", func(q *Queue) *[]string { return &q.Teams }),
	boolField("open", "true: accepts work without a key", func(q *Queue) *bool { return &q.Open }),
	textField("open_team", "team charged for work without a key", false, func(q *Queue) *string { return &q.OpenTeam }),
	boolField("idempotent", "default for requests that don't state it", func(q *Queue) *bool { return &q.Idempotent }),
	boolField("preemptible", "true: may be checkpointed and stopped for higher classes", func(q *Queue) *bool { return &q.Preemptible }),
	durationField("deadline", "longest wait for an answer", func(q *Queue) *time.Duration { return &q.Deadline }),
	intField("retry_budget", "most further attempts at a failed idempotent task", func(q *Queue) *int { return &q.RetryBudget }),
	intField("max_waiting", "most requests waiting in one zone", func(q *Queue) *int { return &q.MaxWaiting }),
	textField("spill", "stay, region or any: where work may go when its zone is full", false, func(q *Queue) *Spill { return &q.Spill }),
	withNote(durationField("key_grace", "how long keyed work is accepted on doubt about the configuration", func(q *Queue) *time.Duration { return &q.KeyGrace }), keyGraceNote),
	boolField("runner", "true: service runners run the work; false: workers", func(q *Queue) *bool { return &q.Runner }),
	durationField("start_objective", "start_target of the work starts within this time", func(q *Queue) *time.Duration { return &q.StartObjective }),
	floatField("start_target", "fraction between 0 and 1", func(q *Queue) *float64 { return &q.StartTarget }),
}

// keyGraceNote states the price of a key grace where it is set.
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

func textField[T any, S ~string](name, doc string, required bool, at func(*T) *S) field[T] {
	return field[T]{
		name:     name,
		doc:      doc,
		required: required,
		print:    func(t *T) string { return string(*at(t)) },
		parse: func(t *T, text string) error {
			*at(t) = S(text)
			return nil
		},
	}
}

func boolField[T any](name, doc string, at func(*T) *bool) field[T] {
	return field[T]{
		name:  name,
		doc:   doc,
		print: func(t *T) string { return strconv.FormatBool(*at(t)) },
		parse: func(t *T, text string) error {
			if text != "true" && text != "false" {
				return errors.Errorf("%q is neither true nor false", text)
			}
			*at(t) = text == "true"
			return nil
		},
	}
}

func intField[T any, N int | int64](name, doc string, at func(*T) *N) field[T] {
	return field[T]{
		name:  name,
		doc:   doc,
		print: func(t *T) string { return strconv.FormatInt(int64(*at(t)), 10) },
		parse: func(t *T, text string) error {
			n, err := strconv.ParseInt(text, 10, 64)
			if err != nil || int64(N(n)) != n {
				return errors.Errorf("%q is not a whole number without a unit", text)
			}
			*at(t) = N(n)
			return nil
		},
	}
}

func floatField[T any](name, doc string, at func(*T) *float64) field[T] {
	return field[T]{
		name:  name,
		doc:   doc,
		print: func(t *T) string { return strconv.FormatFloat(*at(t), 'g', -1, 64) },
		parse: func(t *T, text string) error {
			x, err := strconv.ParseFloat(text, 64)
			if err != nil {
				return errors.Errorf("%q is not a number without a unit", text)
			}
			*at(t) = x
			return nil
		},
	}
}

func durationField[T any](name, doc string, at func(*T) *time.Duration) field[T] {
	return field[T]{
		name:  name,
		doc:   doc,
		print: func(t *T) string { return at(t).String() },
		parse: func(t *T, text string) error {
			d, err := time.ParseDuration(text)
			if err != nil {
				return errors.Errorf("%q is not a duration with a unit, such as 500ms, 30s or 2h", text)
			}
			*at(t) = d
			return nil
		},
	}
}

func listField[T any](name, doc string, at func(*T) *[]string) field[T] {
	return field[T]{
		name:  name,
		doc:   doc,
		print: func(t *T) string { return strings.Join(*at(t), ", ") },
		parse: func(t *T, text string) error {
			*at(t) = splitNames(text)
			return nil
		},
	}
}

// splitNames splits a comma-separated list; an empty text has no names.
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
