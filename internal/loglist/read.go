package loglist

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/pkg/errors"
)

// Read implements Log. Reading below the first retained offset fails with
// KindTrimmed, and the Error's First is the offset to continue from.
func (c *Client) Read(ctx context.Context, from uint64, limit int, wait time.Duration) (*ReadResponse, error) {
	page, err := retry(ctx, c, opRead, func() (*ReadResponse, error) {
		return c.readOnce(ctx, from, limit, wait)
	})
	if err != nil {
		return nil, c.newError(opRead, kindOfAttempt(err), err)
	}
	return page, nil
}

// pageShrinkFactor is the factor by which the limit of a read is divided when its
// page was too large.
const pageShrinkFactor = 8

// readOnce makes one attempt at a read. If the page exceeds MaxResponseBytes, it
// repeats the read with a lower limit.
func (c *Client) readOnce(ctx context.Context, from uint64, limit int, wait time.Duration) (*ReadResponse, error) {
	query := url.Values{
		"from":    {strconv.FormatUint(from, 10)},
		"limit":   {strconv.Itoa(limit)},
		"wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	r := request{op: opRead, method: http.MethodGet, url: c.logURL + PathRecords + "?" + query.Encode(), wait: wait}
	var page ReadResponse
	err := c.exchange(ctx, r, &page)
	if errors.Is(err, errResponseTooLarge) && limit > 1 {
		return c.readOnce(ctx, from, max(limit/pageShrinkFactor, 1), wait)
	}
	if err != nil {
		return nil, err
	}
	if err := page.validate(from); err != nil {
		return nil, &attemptError{kind: KindUnavailable, cause: err}
	}
	if from > 0 && page.First > from {
		cause := errors.Errorf("offset %d is below the first retained offset %d", from, page.First)
		return nil, &attemptError{kind: KindTrimmed, permanent: true, first: page.First, cause: cause}
	}
	c.raiseEnd(page.End)
	return &page, nil
}

// validate returns an error for a page that can't be the response to a read at
// from: its records must lie between from and the end, in ascending order.
func (p *ReadResponse) validate(from uint64) error {
	if p.First == 0 || p.End < p.First {
		return errors.Errorf("page from %d to %d is malformed", p.First, p.End)
	}
	next := max(from, p.First)
	for _, record := range p.Records {
		if record.Offset < next || record.Offset >= p.End {
			return errors.Errorf("record at offset %d is out of place in a page from %d to %d", record.Offset, next, p.End)
		}
		next = record.Offset + 1
	}
	return nil
}
