package peer

import (
	"time"

	peerv1 "github.com/bluebellstile/bluebellstile/internal/gen/peer/v1"
	"github.com/bluebellstile/bluebellstile/internal/problem"
)

// verdicts pairs the wire's verdicts with the typed ones.
var verdicts = map[peerv1.Verdict]problem.Verdict{
	peerv1.Verdict_VERDICT_DONE:    problem.Done,
	peerv1.Verdict_VERDICT_NOT_RUN: problem.NotRun,
	peerv1.Verdict_VERDICT_UNKNOWN: problem.Unknown,
}

// ProblemToWire splits a problem into the wire's verdict and body.
func ProblemToWire(p *problem.Problem) (peerv1.Verdict, *peerv1.Problem) {
	verdict := peerv1.Verdict_VERDICT_UNKNOWN
	for wire, typed := range verdicts {
		if typed == p.Verdict {
			verdict = wire
		}
	}
	return verdict, &peerv1.Problem{
		Code:         string(p.Code),
		Detail:       p.Detail,
		Remedy:       p.Remedy,
		RetryAfterMs: p.RetryAfter.Milliseconds(),
	}
}

// ProblemFromWire is the inverse of ProblemToWire. An unknown verdict is read
// as Unknown; a nil body gives nil.
func ProblemFromWire(verdict peerv1.Verdict, p *peerv1.Problem) *problem.Problem {
	if p == nil {
		return nil
	}
	typed, ok := verdicts[verdict]
	if !ok {
		typed = problem.Unknown
	}
	return &problem.Problem{
		Code:       problem.Code(p.Code),
		Verdict:    typed,
		Detail:     p.Detail,
		Remedy:     p.Remedy,
		RetryAfter: time.Duration(p.RetryAfterMs) * time.Millisecond,
	}
}
