package operator

import (
	"encoding/hex"
	"time"

	"pgregory.net/rapid"
)

// drawName generates valid names.
var drawName = rapid.StringMatching(`[a-z0-9][a-z0-9_-]{0,12}`)

// drawNames draws distinct names.
func drawNames(t *rapid.T, label string, minCount, maxCount int) []string {
	return rapid.SliceOfNDistinct(drawName, minCount, maxCount, rapid.ID[string]).Draw(t, label)
}

// drawConfig draws a valid configuration. Some fields for which zero stands for
// a default are zero.
func drawConfig(t *rapid.T) *Config {
	c := &Config{}
	for _, name := range drawNames(t, "zones", 1, 4) {
		c.Zones = append(c.Zones, Zone{Name: name, Region: drawName.Draw(t, "region"), Drain: rapid.Bool().Draw(t, "drain")})
	}
	teams := drawNames(t, "teams", 1, 5)
	for _, name := range teams {
		c.Teams = append(c.Teams, Team{
			Name:       name,
			Share:      rapid.Int64Range(1, MaxShare).Draw(t, "share"),
			UpperLimit: rapid.Int64Range(0, MaxUpperLimit).Draw(t, "limit"),
		})
	}
	for i, id := range drawNames(t, "keys", 0, 5) {
		c.Keys = append(c.Keys, drawKey(t, id, i, teams))
	}
	for _, name := range drawNames(t, "queues", 0, 4) {
		c.Queues = append(c.Queues, drawQueue(t, name, teams))
	}
	return c
}

func drawKey(t *rapid.T, id string, i int, teams []string) Key {
	hash := rapid.SliceOfN(rapid.Byte(), 32, 32).Draw(t, "hash")
	hash[0] = byte(i) // no two keys may have the same hash
	return Key{
		ID:        id,
		Team:      rapid.SampledFrom(teams).Draw(t, "key team"),
		SHA256:    hex.EncodeToString(hash),
		Operator:  rapid.Bool().Draw(t, "operator"),
		Withdrawn: rapid.Bool().Draw(t, "withdrawn"),
	}
}

func drawDuration(t *rapid.T, label string, lowest, highest time.Duration) time.Duration {
	return time.Duration(rapid.Int64Range(int64(lowest), int64(highest)).Draw(t, label))
}

func drawQueue(t *rapid.T, name string, teams []string) Queue {
	q := Queue{
		Name:        name,
		Class:       rapid.SampledFrom([]Class{"", ClassUrgent, ClassService, ClassBatch}).Draw(t, "class"),
		Priority:    rapid.IntRange(-MaxPriority, MaxPriority).Draw(t, "priority"),
		Teams:       rapid.SliceOfDistinct(rapid.SampledFrom(teams), rapid.ID[string]).Draw(t, "queue teams"),
		Open:        rapid.Bool().Draw(t, "open"),
		Idempotent:  rapid.Bool().Draw(t, "idempotent"),
		Preemptible: rapid.Bool().Draw(t, "preemptible"),
		RetryBudget: rapid.IntRange(0, MaxRetryBudget).Draw(t, "retries"),
		MaxWaiting:  rapid.IntRange(0, MaxMaxWaiting).Draw(t, "waiting"),
		Spill:       rapid.SampledFrom([]Spill{"", SpillStay, SpillRegion, SpillAny}).Draw(t, "spill"),
		KeyGrace:    drawDuration(t, "grace", 0, MaxKeyGrace),
		Runner:      rapid.Bool().Draw(t, "runner"),
	}
	if q.Open {
		q.OpenTeam = rapid.SampledFrom(teams).Draw(t, "open team")
	}
	if rapid.Bool().Draw(t, "written") {
		q.Deadline = drawDuration(t, "deadline", MinDeadline, MaxDeadline)
		q.StartObjective = drawDuration(t, "objective", MinDeadline, MaxDeadline)
		q.StartTarget = rapid.Float64Range(0.001, 0.999).Draw(t, "target")
	}
	return q
}
