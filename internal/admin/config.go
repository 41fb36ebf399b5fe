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
	// appendTimeout bounds the wait for a publication to be read back.
	appendTimeout = 5 * time.Second
	// forceBound is within what time a configuration is to be in force
	// everywhere; publish waits for no longer.
	forceBound = 8 * time.Second
	// forcePoll is how often publish asks where the configuration is in force.
	forcePoll = 100 * time.Millisecond
)

// configBody is the configuration in force.
type configBody struct {
	Version uint64 `json:"version"`
	Text    string `json:"text"`
	// Stale says that the daemon can't prove the version to be the latest.
	Stale bool `json:"stale"`
}

// publishBody is a configuration to publish.
type publishBody struct {
	Text string `json:"text"`
	// Expected is the version that the change is based on.
	Expected uint64 `json:"expected"`
	DryRun   bool   `json:"dry_run,omitempty"`
}

// publishedBody says what became of a publication.
type publishedBody struct {
	Version uint64     `json:"version"`
	DryRun  bool       `json:"dry_run,omitempty"`
	Changes []string   `json:"changes"`
	Zones   []zoneBody `json:"zones,omitempty"`
}

// revertBody names a version to publish again.
type revertBody struct {
	Version  uint64 `json:"version"`
	Expected uint64 `json:"expected"`
}

// versionEntry is one line of the history.
type versionEntry struct {
	Version uint64 `json:"version"`
	Author  string `json:"author,omitempty"`
	Text    string `json:"text"`
}

// getConfig answers the configuration in force here.
func (a *Admin) getConfig(context.Context, string, []byte) (any, *problem.Problem) {
	text, version := a.deps.Journal.State().ConfigText()
	return configBody{Version: version, Text: text, Stale: a.deps.Guard.Stale()}, nil
}

// postConfig publishes a configuration.
func (a *Admin) postConfig(ctx context.Context, author string, body []byte) (any, *problem.Problem) {
	var wanted publishBody
	if err := json.Unmarshal(body, &wanted); err != nil {
		return nil, problem.Refuse(problem.BadRequest, `send {"text": ..., "expected": version}`, "%v", err)
	}
	return a.publish(ctx, author, wanted)
}

// publish checks a configuration, appends it and reports where it is in force.
func (a *Admin) publish(ctx context.Context, author string, wanted publishBody) (any, *problem.Problem) {
	next, err := operator.Parse(wanted.Text)
	if err == nil {
		err = operator.Validate(next)
	}
	if err != nil {
		return nil, invalid(err)
	}
	current, version := a.deps.Journal.State().Config()
	changes := changesOf(current, next)
	if wanted.Expected != version {
		return nil, conflict(wanted.Expected, version)
	}
	if wanted.DryRun {
		return publishedBody{Version: version, DryRun: true, Changes: changes}, nil
	}
	applied, p := a.appendConfig(ctx, author, wanted)
	if p != nil {
		return nil, p
	}
	a.audit(ctx, author, "publish", strings.Join(changes, "\n"))
	a.deps.Log.Info("configuration published", "author", author, "version", applied, "changes", len(changes))
	return publishedBody{Version: applied, Changes: changes, Zones: a.awaitForce(ctx, next, applied)}, nil
}

// invalid refuses a configuration with an error.
func invalid(err error) *problem.Problem {
	return problem.Refuse(problem.InvalidConfig, "correct the configuration and check it with 'bluebellstile config check'", "%v", err)
}

// changesOf lists the changes by meaning.
func changesOf(current, next *operator.Config) []string {
	if current == nil {
		current = &operator.Config{}
	}
	out := []string{}
	for _, c := range operator.Diff(current, next) {
		out = append(out, c.String())
	}
	return out
}

// conflict tells an operator which version came first.
func conflict(expected, version uint64) *problem.Problem {
	return problem.Refuse(problem.VersionConflict, "read the configuration in force, apply the change to it and publish it with that version", "the change expects version %d but version %d is in force", expected, version)
}

// appendConfig appends the record and reads its effect back.
func (a *Admin) appendConfig(ctx context.Context, author string, wanted publishBody) (uint64, *problem.Problem) {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	effect, err := a.deps.Journal.Append(ctx, &record.Envelope{Kind: record.KindConfig, Config: a.configRecord(author, wanted)})
	switch {
	case errors.Is(err, journal.ErrNotAppended):
		return 0, problem.Refuse(problem.LogUnavailable, "publish it again when the log is back", "%v", err)
	case err != nil:
		return 0, problem.UnknownOutcome(problem.LogOutcomeUnknown, "read the configuration in force before publishing again", "%v", err)
	case !effect.Valid && effect.Void == record.VoidConflict:
		_, version := a.deps.Journal.State().Config()
		return 0, conflict(wanted.Expected, version)
	case !effect.Valid:
		return 0, problem.Refuse(problem.InvalidConfig, "correct the configuration", "%s", effect.Reason)
	}
	return effect.Offset, nil
}

// configRecord is the record of a publication: a patch of the version that it
// replaces where that is shorter, else the whole text.
func (a *Admin) configRecord(author string, wanted publishBody) *record.Config {
	out := &record.Config{Text: wanted.Text, Expected: wanted.Expected, Author: author}
	base, version := a.deps.Journal.State().ConfigText()
	if version == 0 || version != wanted.Expected {
		return out
	}
	patch := config.NewPatch(base, wanted.Text)
	size := 0
	for _, run := range patch.Segments {
		size += len(run.Text) + patchRunBytes
	}
	if size < len(wanted.Text) {
		out.Text, out.Patch = "", patch
	}
	return out
}

// patchRunBytes is about what a run of a patch takes beside its text.
const patchRunBytes = 8

// audit records an operator's action. It is not worth failing the action for.
func (a *Admin) audit(ctx context.Context, author, what, detail string) {
	_, err := a.deps.Journal.Append(ctx, &record.Envelope{Kind: record.KindAudit, Audit: &record.Audit{
		Author: author,
		Action: what,
		Detail: detail[:min(len(detail), maxAuditBytes)],
		UnixMS: time.Now().UnixMilli(),
	}})
	if err != nil {
		a.deps.Log.Warn("audit record not confirmed", "author", author, "action", what, "error", err)
	}
}

// maxAuditBytes bounds the detail of an audit record.
const maxAuditBytes = 4 << 10

// getHistory answers the versions that are still known.
func (a *Admin) getHistory(context.Context, string, []byte) (any, *problem.Problem) {
	out := []versionEntry{}
	for _, v := range a.deps.Journal.State().ConfigHistory() {
		out = append(out, versionEntry{Version: v.Version, Author: v.Author, Text: v.Text})
	}
	return out, nil
}

// postRevert publishes the text of an earlier version as a new version.
func (a *Admin) postRevert(ctx context.Context, author string, body []byte) (any, *problem.Problem) {
	var wanted revertBody
	if err := json.Unmarshal(body, &wanted); err != nil {
		return nil, problem.Refuse(problem.BadRequest, `send {"version": old, "expected": current}`, "%v", err)
	}
	for _, v := range a.deps.Journal.State().ConfigHistory() {
		if v.Version == wanted.Version {
			return a.publish(ctx, author, publishBody{Text: v.Text, Expected: wanted.Expected})
		}
	}
	return nil, problem.Refuse(problem.BadRequest, "choose a version of 'bluebellstile config history'", "version %d is not known any more", wanted.Version)
}
