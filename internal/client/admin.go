package client

import (
	"context"
	"fmt"
	"net/http"
)

// Paths of the administration API.
const (
	pathVersion = "/admin/v1/version"
	pathConfig  = "/admin/v1/config"
	pathHistory = "/admin/v1/config/history"
	pathRevert  = "/admin/v1/config/revert"
	pathZones   = "/admin/v1/zones"
	pathReport  = "/admin/v1/report"
)

// Version returns the version of the configuration that is in force, 0 before
// the first publication. It needs no key.
func (c *Client) Version(ctx context.Context) (uint64, error) {
	resp, err := c.get(ctx, pathVersion)
	if err != nil {
		return 0, err
	}
	var v versionResponse
	if failure := decodeJSON(resp, &v); failure != nil {
		return 0, failure
	}
	return v.Version, nil
}

// Config returns the configuration that is in force.
func (c *Client) Config(ctx context.Context) (*ConfigVersion, error) {
	resp, err := c.get(ctx, pathConfig)
	if err != nil {
		return nil, err
	}
	var v ConfigVersion
	if failure := decodeJSON(resp, &v); failure != nil {
		return nil, failure
	}
	return &v, nil
}

// Publish publishes a configuration. If the response is lost, it looks up the
// outcome instead of publishing again, because a second publication could undo a
// change that was published in between.
func (c *Client) Publish(ctx context.Context, r PublishRequest) (*PublishResult, error) {
	op, err := newJSONOperation(http.MethodPost, pathConfig, r)
	if err != nil {
		return nil, err
	}
	p, err := c.publish(ctx, op)
	failure := AsError(err)
	if failure == nil || failure.Verdict != VerdictUnknown || r.DryRun {
		return p, err
	}
	return c.resolveLostPublication(ctx, r, failure)
}

// Revert publishes the text of an earlier version as a new version, in place of
// the version expected.
func (c *Client) Revert(ctx context.Context, version, expected uint64) (*PublishResult, error) {
	op, err := newJSONOperation(http.MethodPost, pathRevert, revertRequest{Version: version, Expected: expected})
	if err != nil {
		return nil, err
	}
	return c.publish(ctx, op)
}

// publish sends a publication or a reversion and decodes its result.
func (c *Client) publish(ctx context.Context, op operation) (*PublishResult, error) {
	resp, err := c.sendMutation(ctx, op)
	if err != nil {
		return nil, err
	}
	var p PublishResult
	if failure := decodeJSON(resp, &p); failure != nil {
		return nil, failure
	}
	return &p, nil
}

// resolveLostPublication finds the outcome of a publication whose response was
// lost. Only a version later than the expected one settles it. As long as the
// expected version is in force, the record of the publication may still be on
// its way to the log and take effect later.
func (c *Client) resolveLostPublication(ctx context.Context, r PublishRequest, lost *Error) (*PublishResult, error) {
	now, err := c.Config(ctx)
	switch {
	case err != nil || now.Version == r.Expected:
		lost.Remedy = "check 'bluebellstile config history' and publish again with the same expected version, which takes effect at most once"
		return nil, lost
	case now.Text == r.Text:
		return &PublishResult{Version: now.Version}, nil
	}
	return nil, &Error{
		Kind:    KindConflict,
		Status:  http.StatusConflict,
		Detail:  fmt.Sprintf("the response was lost, and version %d with another text is in force", now.Version),
		Remedy:  "check 'bluebellstile config history' for whether this text was in force in between, then rebase it on that version and publish again",
		Verdict: VerdictUnknown,
		cause:   lost,
	}
}

// History returns the versions of the configuration that the log still holds.
func (c *Client) History(ctx context.Context) ([]HistoryEntry, error) {
	resp, err := c.get(ctx, pathHistory)
	if err != nil {
		return nil, err
	}
	return decodeList[HistoryEntry](resp)
}

// Zones returns the status of every availability zone.
func (c *Client) Zones(ctx context.Context) ([]ZoneStatus, error) {
	resp, err := c.get(ctx, pathZones)
	if err != nil {
		return nil, err
	}
	return decodeList[ZoneStatus](resp)
}

// Report returns the report on the burn of service-level error budgets, as an
// HTML page if html is true and as JSON otherwise.
func (c *Client) Report(ctx context.Context, html bool) ([]byte, error) {
	op, err := newJSONOperation(http.MethodGet, pathReport, nil)
	if err != nil {
		return nil, err
	}
	op.header.Set("Accept", "application/json")
	if html {
		op.header.Set("Accept", "text/html")
	}
	resp, err := retry(ctx, c.budget, retryableRead, func() (*bufferedResponse, *Error) { return c.roundTrip(ctx, op) })
	if err != nil {
		return nil, err
	}
	return resp.body, nil
}
