package api

import (
	"github.com/bluebellstile/bluebellstile/internal/auth"
	"github.com/bluebellstile/bluebellstile/internal/problem"
	"github.com/uptrace/bunrouter"
)

// Observer receives the outcomes that only a front door sees: requests and
// tickets for which no holder gave an answer, and the acceptance of jobs.
type Observer interface {
	Answered(team, queue string, verdict problem.Verdict, code problem.Code)
}

// observe tells the observer of an outcome; p is nil for an accepted job. A
// caller that went away caused its outcome itself.
func (a *API) observe(r bunrouter.Request, grant auth.Grant, p *problem.Problem) {
	switch {
	case p == nil:
		a.observer.Answered(grant.Team, grant.Queue.Name, problem.Done, "")
	case r.Context().Err() == nil:
		a.observer.Answered(grant.Team, grant.Queue.Name, p.Verdict, p.Code)
	}
}
