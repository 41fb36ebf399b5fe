package loglist

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/pkg/errors"
)

// lookupPageSize is the number of records per read while an append looks for its
// record in the log.
const lookupPageSize = 500

// errNotFound means that a lookup reached the end of the log without finding
// the record id.
var errNotFound = errors.New("record id is not in the log")

// Append implements Log. After an attempt whose response was lost, it looks for
// the record in the log before it makes another attempt. If such an attempt
// can't be resolved, the result stays unknown even if the id isn't found, since
// a delayed request may still arrive.
func (c *Client) Append(ctx context.Context, id string, data []byte) (uint64, error) {
	if id == "" {
		return 0, c.newError(opAppend, KindBadRequest, errors.New("record id is empty"))
	}
	if len(data) > MaxRecordBytes {
		return 0, c.newError(opAppend, KindTooLarge, errors.Errorf("record of %d bytes exceeds the limit of %d bytes", len(data), MaxRecordBytes))
	}
	body, err := json.Marshal(AppendRequest{ID: id, Data: data})
	if err != nil {
		return 0, c.newError(opAppend, KindBadRequest, err)
	}
	a := &appendCall{client: c, id: id, body: body, from: c.lookupStart(ctx)}
	offset, err := retry(ctx, c, opAppend, func() (uint64, error) { return a.attempt(ctx) })
	if err != nil && a.unresolved {
		offset, err = a.finalLookup(ctx, err)
	}
	if err != nil {
		return 0, c.newError(opAppend, a.kind(err), err)
	}
	c.metrics.appends.Add(roleOf(ctx), 1)
	return offset, nil
}

// lookupStart returns an offset not above that of any record appended from now
// on. If no end of the log is known yet, it asks the log once. 0 means the
// first retained record.
func (c *Client) lookupStart(ctx context.Context) uint64 {
	if end := c.end.Load(); end > 0 {
		return end
	}
	if _, err := c.readOnce(ctx, 0, 1, 0); err != nil {
		return 0
	}
	return c.end.Load()
}

// appendCall is the state of one Append over its attempts.
type appendCall struct {
	client *Client
	id     string
	body   []byte
	// from is the lowest offset not read yet at which a copy of the record can
	// be.
	from uint64
	// unresolved is set while an attempt has no response and the log has not
	// been searched for its record.
	unresolved bool
	// outcomeUnknown is set once the response of any attempt was lost.
	outcomeUnknown bool
}

// attempt resolves an earlier attempt whose response was lost, then appends.
func (a *appendCall) attempt(ctx context.Context) (uint64, error) {
	if a.unresolved {
		offset, err := a.lookup(ctx)
		if !errors.Is(err, errNotFound) {
			return offset, err
		}
		a.unresolved = false
	}
	r := request{op: opAppend, method: http.MethodPost, url: a.client.logURL + PathRecords, body: a.body}
	var resp AppendResponse
	err := a.client.exchange(ctx, r, &resp)
	if err == nil && resp.Offset == 0 {
		err = &attemptError{kind: KindUnavailable, effect: mayHaveEffect, cause: errors.New("response lacks the offset")}
	}
	if err == nil {
		a.client.raiseEnd(resp.Offset + 1)
		return resp.Offset, nil
	}
	var failure *attemptError
	if errors.As(err, &failure) && failure.effect == mayHaveEffect {
		a.unresolved, a.outcomeUnknown = true, true
	}
	return 0, err
}

// lookup searches the log for the record id up to its current end. It returns
// errNotFound if the id isn't there.
func (a *appendCall) lookup(ctx context.Context) (uint64, error) {
	for {
		page, err := a.client.readOnce(ctx, a.from, lookupPageSize, 0)
		if err != nil {
			return 0, err
		}
		for _, record := range page.Records {
			if record.ID == a.id {
				a.client.metrics.resolved.Add(1)
				return record.Offset, nil
			}
			a.from = record.Offset + 1
		}
		if len(page.Records) == 0 || a.from >= page.End {
			return 0, errNotFound
		}
	}
}

// finalLookup tries to resolve an attempt after the last retry. If it can't, it
// returns callErr.
func (a *appendCall) finalLookup(ctx context.Context, callErr error) (uint64, error) {
	offset, err := a.lookup(ctx)
	if err != nil {
		return 0, callErr
	}
	return offset, nil
}

// kind returns the error kind of the whole call, whose last attempt failed with
// err.
func (a *appendCall) kind(err error) ErrorKind {
	if a.outcomeUnknown {
		return KindAppendUnknown
	}
	return kindOfAttempt(err)
}
