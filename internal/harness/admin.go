package harness

import (
	"context"

	"github.com/pkg/errors"

	"github.com/bluebellstile/bluebellstile/internal/client"
	"github.com/bluebellstile/bluebellstile/internal/history"
	"github.com/bluebellstile/bluebellstile/operator"
)

// PublishThrough applies change to the configuration that a daemon has in force,
// publishes the result through the daemon's administration interface, as the
// command line does, and records the outcome. It returns the new version. A
// publication whose outcome is unknown stays recorded as proposed.
func (c *Cell) PublishThrough(ctx context.Context, daemon, key, author string, change func(*operator.Config)) (uint64, error) {
	admin, err := client.New(client.Options{URLs: []string{"http://" + c.Daemons[daemon].admin}, Key: key})
	if err != nil {
		return 0, err
	}
	current, err := admin.Config(ctx)
	if err != nil {
		return 0, err
	}
	before, err := operator.Parse(current.Text)
	if err != nil {
		return 0, err
	}
	after := before.Canonical()
	change(after)
	text, err := operator.Print(after)
	if err != nil {
		return 0, err
	}
	c.recordProposed(author, before, after)
	published, err := admin.Publish(ctx, client.PublishRequest{Text: text, Expected: current.Version})
	if err != nil {
		c.recordRefusal(author, current.Version, before, after, err)
		return 0, err
	}
	c.Rec.Add(history.Event{
		Kind: history.ConfigPublished, Source: author, Daemon: daemon,
		Version: published.Version, Expected: current.Version,
	})
	c.recordAccepted(author, before, after)
	return published.Version, nil
}

// recordRefusal records that a publication was rejected, if err proves that it is
// not in force. Otherwise the outcome is unknown and nothing is recorded.
func (c *Cell) recordRefusal(author string, expected uint64, before, after *operator.Config, err error) {
	var e *client.Error
	if !errors.As(err, &e) || e.Verdict != client.VerdictNotRun {
		return
	}
	c.Rec.Add(history.Event{Kind: history.ConfigRejected, Source: author, Expected: expected})
	c.recordRejected(author, before, after)
}
