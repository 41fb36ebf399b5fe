package peer

import (
	"time"

	peerv1 "github.com/bluebellstile/bluebellstile/internal/gen/peer/v1"
	"github.com/bluebellstile/bluebellstile/internal/problem"
)

// verdicts maps the verdicts of the wire protocol to those of package problem.
var verdicts = map[peerv1.Verdict]problem.Verdict{
	peerv1.Verdict_VERDICT_DONE:    problem.Done,
	peerv1.Verdict_VERDICT_NOT_RUN: problem.NotRun,
	peerv1.Verdict_VERDICT_UNKNOWN: problem.Unknown,
}

// ProblemToWire converts a problem to the verdict and the body that stand for it
// in the wire protocol.
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

// ProblemFromWire is the inverse of ProblemToWire. It converts a verdict that is
// not defined here to problem.Unknown and returns nil for a nil body.
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
