package client

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"time"
)

// Request is work whose caller waits for the answer.
type Request struct {
	Queue   string
	Command string
	Input   []byte
	// Idempotent is nil for the queue's default.
	Idempotent *bool
	// Deadline bounds the wait; 0 for the queue's own.
	Deadline time.Duration
	// Ticket asks for the outcome of an earlier sending of the same request;
	// empty for a new one.
	Ticket string
}

// Answer is the whole answer to a Request.
type Answer struct {
	Ticket string
	Output []byte
}

// Submit sends a request and waits for its whole answer. When the outcome is
// unknown, the error's Ticket lets the caller ask again without running the
// request twice.
func (c *Client) Submit(ctx context.Context, r Request) (*Answer, error) {
	return retry(ctx, c.budget, notRun, func() (*Answer, *Error) { return c.submitOnce(ctx, r) })
}

// submitOnce sends a request once. A request without a ticket gets a new one
// on every attempt, since "not run" is final for the ticket before.
func (c *Client) submitOnce(ctx context.Context, r Request) (*Answer, *Error) {
	if r.Ticket == "" {
		ticket, failure := c.ticketOnce(ctx, r.Queue)
		if failure != nil {
			return nil, failure
		}
		r.Ticket = ticket
	}
	a, failure := c.once(ctx, r.call())
	if failure == nil {
		return acceptAnswer(a, r.Ticket)
	}
	failure.Ticket = orDefault(failure.Ticket, r.Ticket)
	return nil, failure
}

// acceptAnswer checks that a success is a daemon's.
func acceptAnswer(a *answer, ticket string) (*Answer, *Error) {
	if Verdict(a.header.Get(HeaderVerdict)) != VerdictDone {
		failure := protocolError(a, "it has no "+HeaderVerdict+" header")
		failure.Ticket = ticket
		return nil, failure
	}
	return &Answer{Ticket: ticket, Output: a.body}, nil
}

func (r *Request) call() call {
	header := http.Header{}
	header.Set(HeaderTicket, r.Ticket)
	header.Set("Content-Type", "application/octet-stream")
	if r.Idempotent != nil {
		header.Set(HeaderIdempotent, strconv.FormatBool(*r.Idempotent))
	}
	if r.Deadline > 0 {
		header.Set(HeaderDeadline, r.Deadline.String())
	}
	if r.Command != "" {
		header.Set(HeaderCommand, r.Command)
	}
	return call{
		method: http.MethodPost,
		path:   queuePath(r.Queue, "requests"),
		header: header,
		body:   r.Input,
	}
}

// queuePath returns the path of a resource of a queue.
func queuePath(queue, resource string) string {
	return "/v1/queues/" + url.PathEscape(queue) + "/" + resource
}

// ticketOnce asks for a ticket. Whatever fails here, no work has been sent
// yet, so that the verdict is always "not run".
func (c *Client) ticketOnce(ctx context.Context, queue string) (string, *Error) {
	op, err := jsonCall(http.MethodPost, "/v1/tickets", ticketRequest{Queue: queue})
	if err != nil {
		return "", &Error{Kind: KindRefused, Detail: err.Error(), Verdict: VerdictNotRun, cause: err}
	}
	var response ticketResponse
	a, failure := c.once(ctx, op)
	if failure == nil {
		failure = decode(a, &response)
	}
	if failure == nil && response.Ticket == "" {
		failure = protocolError(a, "it has no ticket")
	}
	if failure != nil {
		failure.Verdict = VerdictNotRun
		return "", failure
	}
	return response.Ticket, nil
}

// CancelRequest cancels a request that another caller waits for.
func (c *Client) CancelRequest(ctx context.Context, ticket string) error {
	op := call{method: http.MethodDelete, path: "/v1/requests/" + url.PathEscape(ticket)}
	_, err := c.change(ctx, op)
	return err
}
