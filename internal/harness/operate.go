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

// ErrConflict reports that another configuration was published since the one that
// the change is based on.
var ErrConflict = errors.New("another configuration was published first; read it and publish again")

// logPageRecords is the number of records requested per read of the log.
const logPageRecords = 1000

// Records reads the whole log.
func (c *Cell) Records(ctx context.Context) ([]loglist.Record, error) {
	var out []loglist.Record
	for from := uint64(1); ; {
		page, err := c.Log.Read(ctx, from, logPageRecords, 0)
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

// replayConfigs replays the configuration records of a log and returns the
// version and text in force at its end, and the record ids of all accepted
// configurations by version. A configuration is accepted if it can be parsed and
// its expected version is the one in force at its position in the log. Records
// with Base set append the version in force again and are skipped. Patches are
// not applied, so configurations that a daemon published as a patch of the
// previous one are not followed.
func replayConfigs(records []loglist.Record) (version uint64, text string, accepted map[uint64]string) {
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

// CurrentConfig returns the configuration in force according to the log and its
// version, which is 0 if none was published.
func (c *Cell) CurrentConfig(ctx context.Context) (*operator.Config, uint64, error) {
	records, err := c.Records(ctx)
	if err != nil {
		return nil, 0, err
	}
	version, text, _ := replayConfigs(records)
	if version == 0 {
		return &operator.Config{}, 0, nil
	}
	parsed, err := operator.Parse(text)
	return parsed, version, err
}

// Publish applies change to the configuration in force, appends the result
// directly to the log, as operators may do, and records the outcome. It returns
// the new version, or ErrConflict if another configuration was published first.
func (c *Cell) Publish(ctx context.Context, author string, change func(*operator.Config)) (uint64, error) {
	before, expected, err := c.CurrentConfig(ctx)
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
	c.recordProposed(author, before, after)
	if _, err := c.Log.Append(ctx, id, data); err != nil && !loglist.MayBeAppended(err) {
		c.recordRejected(author, before, after)
		return 0, err
	}
	return c.resolvePublication(ctx, author, id, expected, before, after)
}

// resolvePublication reads from the log whether a publication was accepted and
// records the outcome. If the log can't be read, the publication stays recorded
// as proposed.
func (c *Cell) resolvePublication(ctx context.Context, author, id string, expected uint64, before, after *operator.Config) (uint64, error) {
	records, err := c.Records(ctx)
	if err != nil {
		return 0, err
	}
	_, _, accepted := replayConfigs(records)
	for version, recordID := range accepted {
		if recordID != id {
			continue
		}
		c.Rec.Add(history.Event{Kind: history.ConfigPublished, Source: author, Version: version, Expected: expected})
		c.recordAccepted(author, before, after)
		return version, nil
	}
	c.Rec.Add(history.Event{Kind: history.ConfigRejected, Source: author, Expected: expected})
	c.recordRejected(author, before, after)
	return 0, ErrConflict
}

// recordProposed records the upper limits that a publication is about to change.
func (c *Cell) recordProposed(author string, before, after *operator.Config) {
	c.eachChangedLimit(before, after, func(team string, limit int64) {
		c.Rec.Add(history.Event{Kind: history.LimitProposed, Source: author, Team: team, Limit: limit})
	})
}

// recordRejected records that the changes to upper limits were rejected.
func (c *Cell) recordRejected(author string, before, after *operator.Config) {
	c.eachChangedLimit(before, after, func(team string, limit int64) {
		c.Rec.Add(history.Event{Kind: history.LimitRejected, Source: author, Team: team, Limit: limit})
	})
}

// recordAccepted records the upper limits and keys that an accepted publication
// changed.
func (c *Cell) recordAccepted(author string, before, after *operator.Config) {
	c.eachChangedLimit(before, after, func(team string, limit int64) {
		c.Rec.Add(history.Event{Kind: history.LimitSet, Source: author, Team: team, Limit: limit})
	})
	old := map[string]operator.Key{}
	for _, k := range before.Keys {
		old[k.ID] = k
	}
	for _, k := range after.Keys {
		previous, known := old[k.ID]
		switch {
		case k.Withdrawn && known && !previous.Withdrawn:
			c.Rec.Add(history.Event{Kind: history.KeyWithdrawn, Source: author, Key: k.ID, Team: k.Team})
		case !k.Withdrawn && !known:
			c.Rec.Add(history.Event{Kind: history.KeyGranted, Source: author, Key: k.ID, Team: k.Team})
		}
	}
}

// eachChangedLimit calls f for each team whose upper limit changes.
func (c *Cell) eachChangedLimit(before, after *operator.Config, f func(team string, limit int64)) {
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

// Holder returns the id of the instance that holds a zone according to the claims
// in the log, or "" if there is none. A claim is valid if its previous epoch is
// the current one; its own epoch is its offset. Claims with Base set are
// renewals, which don't change the holder. A claim names its holder as
// "instance/incarnation".
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
