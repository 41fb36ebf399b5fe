package harness

import (
	"context"
	"crypto/rand"
	"fmt"
	"strings"

	"github.com/pkg/errors"

	"github.com/bluebellstile/bluebellstile/internal/history"
	"github.com/bluebellstile/bluebellstile/internal/loglist"
	"github.com/bluebellstile/bluebellstile/internal/record"
	"github.com/bluebellstile/bluebellstile/operator"
)

// ErrRace says that another operator's configuration came first.
var ErrRace = errors.New("another configuration came first; read it and publish again")

// logPage is how many records one read of the log asks for.
const logPage = 1000

// Records reads the whole log.
func (c *Cell) Records(ctx context.Context) ([]loglist.Record, error) {
	var out []loglist.Record
	for from := uint64(1); ; {
		page, err := c.Log.Read(ctx, from, logPage, 0)
		if err != nil {
			return nil, err
		}
		out = append(out, page.Records...)
		if len(page.Records) == 0 {
			return out, nil
		}
		from = page.Records[len(page.Records)-1].Offset + 1
	}
}

// inForce replays the configurations of a log: one is valid if it names the
// version in force where it stands.
func inForce(records []loglist.Record) (version uint64, text string, accepted map[uint64]string) {
	accepted = map[uint64]string{}
	for _, r := range records {
		e, err := record.Decode(r.Data)
		if err != nil || e.Kind != record.KindConfig || e.Config.Base != 0 || e.Config.Expected != version {
			continue
		}
		if _, err := operator.Parse(e.Config.Text); err != nil {
			continue
		}
		version, text = r.Offset, e.Config.Text
		accepted[r.Offset] = r.ID
	}
	return version, text, accepted
}

// Current returns the configuration in force by the log.
func (c *Cell) Current(ctx context.Context) (*operator.Config, uint64, error) {
	records, err := c.Records(ctx)
	if err != nil {
		return nil, 0, err
	}
	version, text, _ := inForce(records)
	if version == 0 {
		return &operator.Config{}, 0, nil
	}
	parsed, err := operator.Parse(text)
	return parsed, version, err
}

// Publish appends a changed configuration to the log, as operators may do
// themselves, and records what became of it. It returns ErrRace if another
// came first.
func (c *Cell) Publish(ctx context.Context, author string, change func(*operator.Config)) (uint64, error) {
	before, expected, err := c.Current(ctx)
	if err != nil {
		return 0, err
	}
	after := before.Canonical()
	change(after)
	text, err := operator.Print(after)
	if err != nil {
		return 0, err
	}
	data, err := record.Encode(&record.Envelope{
		Kind:   record.KindConfig,
		Config: &record.Config{Text: text, Expected: expected, Author: author},
	})
	if err != nil {
		return 0, err
	}
	id := fmt.Sprintf("config-%s-%s", author, rand.Text())
	c.propose(author, before, after)
	if _, err := c.Log.Append(ctx, id, data); err != nil && !loglist.MayBeAppended(err) {
		c.reject(author, before, after)
		return 0, err
	}
	return c.resolve(ctx, author, id, expected, before, after)
}

// resolve finds out from the log whether a publication was accepted. One
// whose outcome can't be read stays proposed.
func (c *Cell) resolve(ctx context.Context, author, id string, expected uint64, before, after *operator.Config) (uint64, error) {
	records, err := c.Records(ctx)
	if err != nil {
		return 0, err
	}
	_, _, accepted := inForce(records)
	for version, writer := range accepted {
		if writer != id {
			continue
		}
		c.Rec.Add(history.Event{Kind: history.ConfigPublished, Source: author, Version: version, Expected: expected})
		c.accept(author, before, after)
		return version, nil
	}
	c.Rec.Add(history.Event{Kind: history.ConfigRejected, Source: author, Expected: expected})
	c.reject(author, before, after)
	return 0, ErrRace
}

// propose records the limits that a publication is about to change.
func (c *Cell) propose(author string, before, after *operator.Config) {
	c.eachLimit(before, after, func(team string, limit int64) {
		c.Rec.Add(history.Event{Kind: history.LimitProposed, Source: author, Team: team, Limit: limit})
	})
}

func (c *Cell) reject(author string, before, after *operator.Config) {
	c.eachLimit(before, after, func(team string, limit int64) {
		c.Rec.Add(history.Event{Kind: history.LimitRejected, Source: author, Team: team, Limit: limit})
	})
}

// accept records what an accepted publication changed.
func (c *Cell) accept(author string, before, after *operator.Config) {
	c.eachLimit(before, after, func(team string, limit int64) {
		c.Rec.Add(history.Event{Kind: history.LimitSet, Source: author, Team: team, Limit: limit})
	})
	old := map[string]operator.Key{}
	for _, k := range before.Keys {
		old[k.ID] = k
	}
	for _, k := range after.Keys {
		was, known := old[k.ID]
		switch {
		case k.Withdrawn && known && !was.Withdrawn:
			c.Rec.Add(history.Event{Kind: history.KeyWithdrawn, Source: author, Key: k.ID, Team: k.Team})
		case !k.Withdrawn && !known:
			c.Rec.Add(history.Event{Kind: history.KeyGranted, Source: author, Key: k.ID, Team: k.Team})
		}
	}
}

// eachLimit calls f for each team whose upper limit changes.
func (c *Cell) eachLimit(before, after *operator.Config, f func(team string, limit int64)) {
	old := map[string]int64{}
	for _, t := range before.Teams {
		old[t.Name] = t.UpperLimit
	}
	for _, t := range after.Teams {
		if limit, known := old[t.Name]; !known || limit != t.UpperLimit {
			f(t.Name, t.UpperLimit)
		}
	}
}

// Holder returns the instance whose claim of a zone is the valid one by the
// log, or "". A claim names its holder as "instance/incarnation".
func (c *Cell) Holder(ctx context.Context, zone string) (string, error) {
	records, err := c.Records(ctx)
	if err != nil {
		return "", err
	}
	epoch, holder := uint64(0), ""
	for _, r := range records {
		e, err := record.Decode(r.Data)
		if err != nil || e.Kind != record.KindClaim || e.Claim.Zone != zone {
			continue
		}
		if e.Claim.Base == 0 && e.Claim.Previous == epoch {
			epoch = r.Offset
			holder, _, _ = strings.Cut(e.Claim.Holder, "/")
		}
	}
	return holder, nil
}
