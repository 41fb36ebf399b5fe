package client

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"time"
)

// Request is work for a queue whose caller waits for the result.
type Request struct {
	Queue   string
	Command string
	Input   []byte
	// Idempotent is nil for the queue's default.
	Idempotent *bool
	// Deadline bounds the wait for the result; 0 for the queue's default.
	Deadline time.Duration
	// Ticket identifies the request across attempts. A request that is sent
	// again with its ticket doesn't run a second time; the daemon returns the
	// outcome of the first. Empty for a new request.
	Ticket string
}

// Response is the result of a Request.
type Response struct {
	Ticket string
	Output []byte
}

// Submit sends a request and waits for its result. If the outcome is unknown,
// the caller may submit the request again with the error's Ticket, without
// running it twice.
func (c *Client) Submit(ctx context.Context, r Request) (*Response, error) {
	return retry(ctx, c.budget, retryableMutation, func() (*Response, *Error) { return c.submitOnce(ctx, r) })
}

// submitOnce makes one attempt to send a request. Without a ticket it requests
// a new one on every attempt, since the verdict "not run" is final for a ticket.
func (c *Client) submitOnce(ctx context.Context, r Request) (*Response, *Error) {
	if r.Ticket == "" {
		ticket, failure := c.requestTicket(ctx, r.Queue)
		if failure != nil {
			return nil, failure
		}
		r.Ticket = ticket
	}
	resp, failure := c.roundTrip(ctx, r.operation())
	if failure == nil {
		return checkSubmitResponse(resp, r.Ticket)
	}
	failure.Ticket = orDefault(failure.Ticket, r.Ticket)
	return nil, failure
}

// checkSubmitResponse returns the result in a successful response. A response
// without the daemons' verdict header is an error, since something other than a
// daemon may have sent it.
func checkSubmitResponse(resp *bufferedResponse, ticket string) (*Response, *Error) {
	if Verdict(resp.header.Get(HeaderVerdict)) != VerdictDone {
		failure := protocolError(resp, "it has no "+HeaderVerdict+" header")
		failure.Ticket = ticket
		return nil, failure
	}
	return &Response{Ticket: ticket, Output: resp.body}, nil
}

// operation returns the HTTP operation that sends the request.
func (r *Request) operation() operation {
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
	return operation{
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

// requestTicket makes one attempt to get a new ticket. The verdict of its errors
// is always "not run", since no work has been sent yet.
func (c *Client) requestTicket(ctx context.Context, queue string) (string, *Error) {
	op, err := newJSONOperation(http.MethodPost, "/v1/tickets", ticketRequest{Queue: queue})
	if err != nil {
		return "", &Error{Kind: KindRefused, Detail: err.Error(), Verdict: VerdictNotRun, cause: err}
	}
	var response ticketResponse
	resp, failure := c.roundTrip(ctx, op)
	if failure == nil {
		failure = decodeJSON(resp, &response)
	}
	if failure == nil && response.Ticket == "" {
		failure = protocolError(resp, "it has no ticket")
	}
	if failure != nil {
		failure.Verdict = VerdictNotRun
		return "", failure
	}
	return response.Ticket, nil
}

// CancelRequest cancels the request with a ticket, which may be that of another
// caller who is waiting for its result.
func (c *Client) CancelRequest(ctx context.Context, ticket string) error {
	op := operation{method: http.MethodDelete, path: "/v1/requests/" + url.PathEscape(ticket)}
	_, err := c.sendMutation(ctx, op)
	return err
}
