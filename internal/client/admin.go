package client

import (
	"context"
	"fmt"
	"net/http"
)

// Paths of the administration interface.
const (
	pathVersion = "/admin/v1/version"
	pathConfig  = "/admin/v1/config"
	pathHistory = "/admin/v1/config/history"
	pathRevert  = "/admin/v1/config/revert"
	pathZones   = "/admin/v1/zones"
	pathReport  = "/admin/v1/report"
)

// Version reads the version of the configuration that is in force, 0 before
// the first one. It needs no key.
func (c *Client) Version(ctx context.Context) (uint64, error) {
	a, err := c.read(ctx, pathVersion)
	if err != nil {
		return 0, err
	}
	var v versionResponse
	if failure := decode(a, &v); failure != nil {
		return 0, failure
	}
	return v.Version, nil
}

// Config reads the configuration that is in force.
func (c *Client) Config(ctx context.Context) (*ConfigVersion, error) {
	a, err := c.read(ctx, pathConfig)
	if err != nil {
		return nil, err
	}
	var v ConfigVersion
	if failure := decode(a, &v); failure != nil {
		return nil, failure
	}
	return &v, nil
}

// Publish publishes a configuration. When its answer is lost, the outcome is
// looked up and the publication never repeated, so that it can't undo a
// change that came in between.
func (c *Client) Publish(ctx context.Context, r PublishRequest) (*Published, error) {
	op, err := jsonCall(http.MethodPost, pathConfig, r)
	if err != nil {
		return nil, err
	}
	p, err := c.publish(ctx, op)
	failure := AsError(err)
	if failure == nil || failure.Verdict != VerdictUnknown || r.DryRun {
		return p, err
	}
	return c.resolve(ctx, r, failure)
}

// Revert publishes the text of an earlier version as a new version.
func (c *Client) Revert(ctx context.Context, version, expected uint64) (*Published, error) {
	op, err := jsonCall(http.MethodPost, pathRevert, revertRequest{Version: version, Expected: expected})
	if err != nil {
		return nil, err
	}
	return c.publish(ctx, op)
}

func (c *Client) publish(ctx context.Context, op call) (*Published, error) {
	a, err := c.change(ctx, op)
	if err != nil {
		return nil, err
	}
	var p Published
	if failure := decode(a, &p); failure != nil {
		return nil, failure
	}
	return &p, nil
}

// resolve finds out what became of a publication whose answer was lost. Only
// a later version decides: the expected one may still be replaced by the
// record that is under way.
func (c *Client) resolve(ctx context.Context, r PublishRequest, lost *Error) (*Published, error) {
	now, err := c.Config(ctx)
	switch {
	case err != nil || now.Version == r.Expected:
		lost.Remedy = "look at 'bluebellstile config history' and publish again with the same expected version, which takes effect once at most"
		return nil, lost
	case now.Text == r.Text:
		return &Published{Version: now.Version}, nil
	}
	return nil, &Error{
		Kind:    KindConflict,
		Status:  http.StatusConflict,
		Detail:  fmt.Sprintf("the answer was lost and version %d with another text is in force", now.Version),
		Remedy:  "see 'bluebellstile config history' whether this text was in force in between, rebase it on that version and publish again",
		Verdict: VerdictUnknown,
		cause:   lost,
	}
}

// History lists the versions of the configuration that the log still holds.
func (c *Client) History(ctx context.Context) ([]HistoryEntry, error) {
	a, err := c.read(ctx, pathHistory)
	if err != nil {
		return nil, err
	}
	return decodeList[HistoryEntry](a)
}

// Zones lists the availability zones.
func (c *Client) Zones(ctx context.Context) ([]ZoneStatus, error) {
	a, err := c.read(ctx, pathZones)
	if err != nil {
		return nil, err
	}
	return decodeList[ZoneStatus](a)
}

// Report returns the report on service-level burn as JSON, or as an HTML page.
func (c *Client) Report(ctx context.Context, html bool) ([]byte, error) {
	op, err := jsonCall(http.MethodGet, pathReport, nil)
	if err != nil {
		return nil, err
	}
	op.header.Set("Accept", "application/json")
	if html {
		op.header.Set("Accept", "text/html")
	}
	a, err := retry(ctx, c.budget, readOnly, func() (*answer, *Error) { return c.once(ctx, op) })
	if err != nil {
		return nil, err
	}
	return a.body, nil
}
