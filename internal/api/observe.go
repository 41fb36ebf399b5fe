package api

import (
	"github.com/bluebellstile/bluebellstile/internal/auth"
	"github.com/bluebellstile/bluebellstile/internal/problem"
	"github.com/uptrace/bunrouter"
)

// Observer receives the outcomes that only a front door, a daemon that receives
// callers' requests, whether or not it holds their zone, can observe: requests
// and tickets for which no holder gave a response, and the outcomes of job
// submissions.
type Observer interface {
	// Answered records the outcome of one request, ticket or job. code is empty
	// if it succeeded.
	Answered(team, queue string, verdict problem.Verdict, code problem.Code)
}

// observe reports an outcome to the observer. p is nil for an accepted job. A
// failure is not reported if the caller has disconnected, which then caused it.
func (a *API) observe(r bunrouter.Request, grant auth.Grant, p *problem.Problem) {
	switch {
	case p == nil:
		a.observer.Answered(grant.Team, grant.Queue.Name, problem.Done, "")
	case r.Context().Err() == nil:
		a.observer.Answered(grant.Team, grant.Queue.Name, p.Verdict, p.Code)
	}
}
