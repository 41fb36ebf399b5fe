package admin

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/config"
	"github.com/bluebellstile/bluebellstile/internal/journal"
	"github.com/bluebellstile/bluebellstile/internal/problem"
	"github.com/bluebellstile/bluebellstile/internal/record"
	"github.com/bluebellstile/bluebellstile/operator"
	"github.com/pkg/errors"
)

const (
	// appendTimeout bounds the append of a configuration and the wait until its
	// record has been read back.
	appendTimeout = 5 * time.Second
	// inForceTimeout is the time within which a published configuration should be
	// in force everywhere. publish waits no longer.
	inForceTimeout = 8 * time.Second
	// inForcePollInterval is the interval at which publish asks the daemons where
	// the configuration is in force.
	inForcePollInterval = 100 * time.Millisecond
)

// configBody is the response with the configuration in force.
type configBody struct {
	Version uint64 `json:"version"`
	Text    string `json:"text"`
	// Stale is set if the daemon can't prove that the version is the latest.
	Stale bool `json:"stale"`
}

// publishBody is the request to publish a configuration.
type publishBody struct {
	Text string `json:"text"`
	// Expected is the version that the change is based on.
	Expected uint64 `json:"expected"`
	DryRun   bool   `json:"dry_run,omitempty"`
}

// publishedBody is the response to a publication.
type publishedBody struct {
	Version uint64     `json:"version"`
	DryRun  bool       `json:"dry_run,omitempty"`
	Changes []string   `json:"changes"`
	Zones   []zoneBody `json:"zones,omitempty"`
}

// revertBody is the request to publish an earlier version again.
type revertBody struct {
	Version  uint64 `json:"version"`
	Expected uint64 `json:"expected"`
}

// versionEntry is one version in the configuration history.
type versionEntry struct {
	Version uint64 `json:"version"`
	Author  string `json:"author,omitempty"`
	Text    string `json:"text"`
}

// getConfig answers with the configuration in force in this daemon.
func (a *Admin) getConfig(context.Context, string, []byte) (any, *problem.Problem) {
	text, version := a.deps.Journal.State().ConfigText()
	return configBody{Version: version, Text: text, Stale: a.deps.Guard.Stale()}, nil
}

// postConfig publishes the configuration in the body.
func (a *Admin) postConfig(ctx context.Context, author string, body []byte) (any, *problem.Problem) {
	var req publishBody
	if err := json.Unmarshal(body, &req); err != nil {
		return nil, problem.Refuse(problem.BadRequest, `send {"text": ..., "expected": version}`, "%v", err)
	}
	return a.publish(ctx, author, req)
}

// publish validates a configuration, appends it to the log and reports where it
// is in force. A dry run only validates it and lists the changes.
func (a *Admin) publish(ctx context.Context, author string, req publishBody) (any, *problem.Problem) {
	next, err := operator.Parse(req.Text)
	if err == nil {
		err = operator.Validate(next)
	}
	if err != nil {
		return nil, invalidConfig(err)
	}
	current, version := a.deps.Journal.State().Config()
	changes := describeChanges(current, next)
	if req.Expected != version {
		return nil, versionConflict(req.Expected, version)
	}
	if req.DryRun {
		return publishedBody{Version: version, DryRun: true, Changes: changes}, nil
	}
	applied, p := a.appendConfig(ctx, author, req)
	if p != nil {
		return nil, p
	}
	a.audit(ctx, author, "publish", strings.Join(changes, "\n"))
	a.deps.Log.Info("configuration published", "author", author, "version", applied, "changes", len(changes))
	return publishedBody{Version: applied, Changes: changes, Zones: a.awaitInForce(ctx, next, applied)}, nil
}

// invalidConfig returns the refusal of a configuration that failed with err.
func invalidConfig(err error) *problem.Problem {
	return problem.Refuse(problem.InvalidConfig, "correct the configuration and check it with 'bluebellstile config check'", "%v", err)
}

// describeChanges lists the changes between two configurations as text, by
// meaning and not by line.
func describeChanges(current, next *operator.Config) []string {
	if current == nil {
		current = &operator.Config{}
	}
	out := []string{}
	for _, c := range operator.Diff(current, next) {
		out = append(out, c.String())
	}
	return out
}

// versionConflict returns the refusal of a change that is not based on the
// version in force.
func versionConflict(expected, version uint64) *problem.Problem {
	return problem.Refuse(problem.VersionConflict, "read the configuration in force, apply the change to it and publish it with that version", "the change expects version %d but version %d is in force", expected, version)
}

// appendConfig appends the configuration's record and returns its version once
// the record has been read back and found valid.
func (a *Admin) appendConfig(ctx context.Context, author string, req publishBody) (uint64, *problem.Problem) {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	effect, err := a.deps.Journal.Append(ctx, &record.Envelope{Kind: record.KindConfig, Config: a.configRecord(author, req)})
	switch {
	case errors.Is(err, journal.ErrNotAppended):
		return 0, problem.Refuse(problem.LogUnavailable, "publish it again when the log is back", "%v", err)
	case err != nil:
		return 0, problem.UnknownOutcome(problem.LogOutcomeUnknown, "read the configuration in force before publishing again", "%v", err)
	case !effect.Valid && effect.Void == record.VoidConflict:
		_, version := a.deps.Journal.State().Config()
		return 0, versionConflict(req.Expected, version)
	case !effect.Valid:
		return 0, problem.Refuse(problem.InvalidConfig, "correct the configuration", "%s", effect.Reason)
	}
	return effect.Offset, nil
}

// configRecord returns the record of a publication, which holds a patch of the
// version that it replaces if that is shorter, and else the whole text.
func (a *Admin) configRecord(author string, req publishBody) *record.Config {
	out := &record.Config{Text: req.Text, Expected: req.Expected, Author: author}
	base, version := a.deps.Journal.State().ConfigText()
	if version == 0 || version != req.Expected {
		return out
	}
	patch := config.NewPatch(base, req.Text)
	size := 0
	for _, segment := range patch.Segments {
		size += len(segment.Text) + patchSegmentOverheadBytes
	}
	if size < len(req.Text) {
		out.Text, out.Patch = "", patch
	}
	return out
}

// patchSegmentOverheadBytes is the approximate encoded size of a patch
// segment without its text.
const patchSegmentOverheadBytes = 8

// audit appends an audit record of an operator's action. If that fails, it logs
// a warning; the action succeeds all the same.
func (a *Admin) audit(ctx context.Context, author, actionName, detail string) {
	_, err := a.deps.Journal.Append(ctx, &record.Envelope{Kind: record.KindAudit, Audit: &record.Audit{
		Author: author,
		Action: actionName,
		Detail: detail[:min(len(detail), maxAuditBytes)],
		UnixMS: time.Now().UnixMilli(),
	}})
	if err != nil {
		a.deps.Log.Warn("audit record not confirmed", "author", author, "action", actionName, "error", err)
	}
}

// maxAuditBytes bounds the detail of an audit record.
const maxAuditBytes = 4 << 10

// getHistory answers with the configuration versions that are still known.
func (a *Admin) getHistory(context.Context, string, []byte) (any, *problem.Problem) {
	out := []versionEntry{}
	for _, v := range a.deps.Journal.State().ConfigHistory() {
		out = append(out, versionEntry{Version: v.Version, Author: v.Author, Text: v.Text})
	}
	return out, nil
}

// postRevert publishes the text of an earlier version as a new version.
func (a *Admin) postRevert(ctx context.Context, author string, body []byte) (any, *problem.Problem) {
	var req revertBody
	if err := json.Unmarshal(body, &req); err != nil {
		return nil, problem.Refuse(problem.BadRequest, `send {"version": old, "expected": current}`, "%v", err)
	}
	for _, v := range a.deps.Journal.State().ConfigHistory() {
		if v.Version == req.Version {
			return a.publish(ctx, author, publishBody{Text: v.Text, Expected: req.Expected})
		}
	}
	return nil, problem.Refuse(problem.BadRequest, "choose a version of 'bluebellstile config history'", "version %d is not in the configuration history", req.Version)
}
