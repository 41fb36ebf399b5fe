package client

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"time"
)

// SubmitJob submits a durable job and returns its ID once it is accepted. When
// the outcome is unknown, submitting it again with the error's Ticket accepts
// it at most once.
func (c *Client) SubmitJob(ctx context.Context, queue string, r JobRequest) (string, error) {
	return retry(ctx, c.budget, notRun, func() (string, *Error) { return c.submitJobOnce(ctx, queue, r) })
}

func (c *Client) submitJobOnce(ctx context.Context, queue string, r JobRequest) (string, *Error) {
	if r.Ticket == "" {
		ticket, failure := c.ticketOnce(ctx, queue)
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
	op, err := jsonCall(http.MethodPost, queuePath(queue, "jobs"), r)
	if err != nil {
		return "", &Error{Kind: KindRefused, Detail: err.Error(), Verdict: VerdictNotRun, cause: err}
	}
	a, failure := c.once(ctx, op)
	if failure != nil {
		return "", failure
	}
	var response jobResponse
	if failure := decode(a, &response); failure != nil {
		return "", failure
	}
	if response.Job == "" {
		return "", protocolError(a, "it names no job")
	}
	return response.Job, nil
}

// Job reads a job.
func (c *Client) Job(ctx context.Context, id string) (*Job, error) {
	a, err := c.read(ctx, jobPath(id))
	if err != nil {
		return nil, err
	}
	var job Job
	if failure := decode(a, &job); failure != nil {
		return nil, failure
	}
	return &job, nil
}

// Jobs lists the jobs of a team, or all that the key may see when team is
// empty.
func (c *Client) Jobs(ctx context.Context, team string) ([]Job, error) {
	path := "/v1/jobs"
	if team != "" {
		path += "?" + url.Values{"team": {team}}.Encode()
	}
	a, err := c.read(ctx, path)
	if err != nil {
		return nil, err
	}
	return decodeList[Job](a)
}

// CancelJob cancels a job. Tasks that have finished stay so.
func (c *Client) CancelJob(ctx context.Context, id string) error {
	_, err := c.change(ctx, call{method: http.MethodDelete, path: jobPath(id)})
	return err
}

func jobPath(id string) string {
	return "/v1/jobs/" + url.PathEscape(id)
}

// Watch calls show with every state of the job until it is final, and returns
// the last one. A stream that breaks is opened again within the budget, which
// begins anew whenever a state has come.
func (c *Client) Watch(ctx context.Context, id string, show func(*Job)) (*Job, error) {
	for {
		last, err := retry(ctx, c.budget, readOnly, func() (*Job, *Error) { return c.watchOnce(ctx, id, show) })
		if err != nil {
			return nil, err
		}
		if last.Final() {
			return last, nil
		}
		if err := pause(ctx, orDefault(c.budget.Initial, DefaultInitial)); err != nil {
			return nil, err
		}
	}
}

// pause waits for d or the end of ctx.
func pause(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// watchOnce follows one stream to its end. It fails only if no state came.
func (c *Client) watchOnce(ctx context.Context, id string, show func(*Job)) (*Job, *Error) {
	response, failure := c.open(ctx, call{method: http.MethodGet, path: jobPath(id) + "/watch"})
	if failure != nil {
		return nil, failure
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		a, failure := readAnswer(ctx, response)
		if failure != nil {
			return nil, failure
		}
		return nil, answerError(a)
	}
	last, err := followJob(response.Body, show)
	if last == nil {
		failure := brokenError("the stream ended before a state of the job: "+err.Error(), err)
		failure.Remedy = "watch the job again"
		return nil, failure
	}
	return last, nil
}

// followJob decodes states until the job is final or the stream ends, and
// returns the last one that came.
func followJob(body io.Reader, show func(*Job)) (*Job, error) {
	decoder := json.NewDecoder(body)
	var last *Job
	for {
		var job Job
		if err := decoder.Decode(&job); err != nil {
			return last, err
		}
		last = &job
		show(last)
		if last.Final() {
			return last, nil
		}
	}
}
