package loglist

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/pkg/errors"
)

// lookupPage is the number of records read at a time while an id is sought.
const lookupPage = 500

// errNotFound means that a lookup reached the log's end without the id.
var errNotFound = errors.New("record id is not in the log")

// Append implements Log. An attempt whose answer was lost is resolved by
// reading the log back before another is made. The result stays unknown while
// any such attempt is unresolved, even if the id isn't found, since a delayed
// request may still arrive.
func (c *Client) Append(ctx context.Context, id string, data []byte) (uint64, error) {
	if id == "" {
		return 0, c.failure(opAppend, KindBadRequest, errors.New("record id is empty"))
	}
	if len(data) > MaxRecordBytes {
		return 0, c.failure(opAppend, KindTooLarge, errors.Errorf("record of %d bytes is over %d", len(data), MaxRecordBytes))
	}
	body, err := json.Marshal(AppendRequest{ID: id, Data: data})
	if err != nil {
		return 0, c.failure(opAppend, KindBadRequest, err)
	}
	a := &appendCall{client: c, id: id, body: body, from: c.startOfLookup(ctx)}
	offset, err := retry(ctx, c, opAppend, func() (uint64, error) { return a.attempt(ctx) })
	if err != nil && a.pending {
		offset, err = a.lastLookup(ctx, err)
	}
	if err != nil {
		return 0, c.failure(opAppend, a.kind(err), err)
	}
	c.metrics.appends.Add(roleOf(ctx), 1)
	return offset, nil
}

// startOfLookup returns an offset at or below the place of a record that is
// appended from now on. It asks the log once; 0 means the first kept record.
func (c *Client) startOfLookup(ctx context.Context) uint64 {
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
	// from is the first offset that a copy of the record can have and that
	// has not been read yet.
	from uint64
	// pending is set while an attempt has no answer and has not been looked up.
	pending bool
	// uncertain is set once any attempt has lost its answer.
	uncertain bool
}

// attempt resolves an earlier attempt, then appends.
func (a *appendCall) attempt(ctx context.Context) (uint64, error) {
	if a.pending {
		offset, err := a.lookup(ctx)
		if !errors.Is(err, errNotFound) {
			return offset, err
		}
		a.pending = false
	}
	r := request{op: opAppend, method: http.MethodPost, url: a.client.logURL + PathRecords, body: a.body}
	var resp AppendResponse
	err := a.client.exchange(ctx, r, &resp)
	if err == nil && resp.Offset == 0 {
		err = &attemptError{kind: KindUnavailable, certainty: mayHaveEffect, cause: errors.New("answer lacks the offset")}
	}
	if err == nil {
		a.client.sawEnd(resp.Offset + 1)
		return resp.Offset, nil
	}
	var failure *attemptError
	if errors.As(err, &failure) && failure.certainty == mayHaveEffect {
		a.pending, a.uncertain = true, true
	}
	return 0, err
}

// lookup reads up to the log's current end for the record id. It returns
// errNotFound if the id isn't there.
func (a *appendCall) lookup(ctx context.Context) (uint64, error) {
	for {
		page, err := a.client.readOnce(ctx, a.from, lookupPage, 0)
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

// lastLookup tries to resolve an attempt after the last retry. If it can't,
// it returns the error of the call.
func (a *appendCall) lastLookup(ctx context.Context, callErr error) (uint64, error) {
	offset, err := a.lookup(ctx)
	if err != nil {
		return 0, callErr
	}
	return offset, nil
}

// kind returns the kind of the whole call's failure.
func (a *appendCall) kind(err error) ErrorKind {
	if a.uncertain {
		return KindAppendUnknown
	}
	return kindOfAttempt(err)
}
