package client

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"time"
)

// SubmitJob submits a durable job to a queue and returns its ID once it is
// accepted. If the outcome is unknown, the caller may submit the job again with
// the error's Ticket; a job is accepted at most once per ticket.
func (c *Client) SubmitJob(ctx context.Context, queue string, r JobRequest) (string, error) {
	return retry(ctx, c.budget, retryableMutation, func() (string, *Error) { return c.submitJobOnce(ctx, queue, r) })
}

// submitJobOnce makes one attempt to submit a job. Without a ticket it requests
// a new one on every attempt, since the verdict "not run" is final for a ticket.
func (c *Client) submitJobOnce(ctx context.Context, queue string, r JobRequest) (string, *Error) {
	if r.Ticket == "" {
		ticket, failure := c.requestTicket(ctx, queue)
		if failure != nil {
			return "", failure
		}
		r.Ticket = ticket
	}
	id, failure := c.sendJob(ctx, queue, r)
	if failure != nil {
		failure.Ticket = orDefault(failure.Ticket, r.Ticket)
	}
	return id, failure
}

func (c *Client) sendJob(ctx context.Context, queue string, r JobRequest) (string, *Error) {
	op, err := newJSONOperation(http.MethodPost, queuePath(queue, "jobs"), r)
	if err != nil {
		return "", &Error{Kind: KindRefused, Detail: err.Error(), Verdict: VerdictNotRun, cause: err}
	}
	resp, failure := c.roundTrip(ctx, op)
	if failure != nil {
		return "", failure
	}
	var response jobResponse
	if failure := decodeJSON(resp, &response); failure != nil {
		return "", failure
	}
	if response.Job == "" {
		return "", protocolError(resp, "it has no job id")
	}
	return response.Job, nil
}

// Job returns the state of a job.
func (c *Client) Job(ctx context.Context, id string) (*Job, error) {
	resp, err := c.get(ctx, jobPath(id))
	if err != nil {
		return nil, err
	}
	var job Job
	if failure := decodeJSON(resp, &job); failure != nil {
		return nil, failure
	}
	return &job, nil
}

// Jobs returns the jobs of a team, or all that the key may see if team is
// empty.
func (c *Client) Jobs(ctx context.Context, team string) ([]Job, error) {
	path := "/v1/jobs"
	if team != "" {
		path += "?" + url.Values{"team": {team}}.Encode()
	}
	resp, err := c.get(ctx, path)
	if err != nil {
		return nil, err
	}
	return decodeList[Job](resp)
}

// CancelJob cancels a job. Tasks that have finished keep their results.
func (c *Client) CancelJob(ctx context.Context, id string) error {
	_, err := c.sendMutation(ctx, operation{method: http.MethodDelete, path: jobPath(id)})
	return err
}

func jobPath(id string) string {
	return "/v1/jobs/" + url.PathEscape(id)
}

// Watch calls onState with every state of the job until it is final, and
// returns the last one. It reopens a broken stream within the retry budget,
// which starts over with each stream that has delivered a state.
func (c *Client) Watch(ctx context.Context, id string, onState func(*Job)) (*Job, error) {
	for {
		last, err := retry(ctx, c.budget, retryableRead, func() (*Job, *Error) { return c.watchOnce(ctx, id, onState) })
		if err != nil {
			return nil, err
		}
		if last.Final() {
			return last, nil
		}
		if err := sleep(ctx, orDefault(c.budget.InitialInterval, DefaultInitialInterval)); err != nil {
			return nil, err
		}
	}
}

// sleep waits for d. It returns the error of ctx if that ends first.
func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// watchOnce reads one stream to its end and returns the last state. It fails
// only if the stream delivered no state.
func (c *Client) watchOnce(ctx context.Context, id string, onState func(*Job)) (*Job, *Error) {
	response, failure := c.send(ctx, operation{method: http.MethodGet, path: jobPath(id) + "/watch"})
	if failure != nil {
		return nil, failure
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		resp, failure := readResponse(ctx, response)
		if failure != nil {
			return nil, failure
		}
		return nil, responseError(resp)
	}
	last, err := readJobStates(response.Body, onState)
	if last == nil {
		failure := brokenError("the stream ended before it delivered a state of the job: "+err.Error(), err)
		failure.Remedy = "watch the job again"
		return nil, failure
	}
	return last, nil
}

// readJobStates decodes states from a stream until the job is final or the
// stream ends, and returns the last one. It may return both a state and the
// error that ended the stream.
func readJobStates(body io.Reader, onState func(*Job)) (*Job, error) {
	decoder := json.NewDecoder(body)
	var last *Job
	for {
		var job Job
		if err := decoder.Decode(&job); err != nil {
			return last, err
		}
		last = &job
		onState(last)
		if last.Final() {
			return last, nil
		}
	}
}
