package router

import (
	"context"

	"connectrpc.com/connect"
	peerv1 "github.com/bluebellstile/bluebellstile/internal/gen/peer/v1"
	"github.com/bluebellstile/bluebellstile/internal/ticket"
	"github.com/bluebellstile/bluebellstile/internal/zone"
)

// Bar reports whether a request with the ticket has certainly not run and never
// will. It is false if the zone's holder can't be asked in time. While the zone
// changes hands, the previous holder's declaration is brought to the new one.
func (r *Router) Bar(ctx context.Context, t ticket.Ticket) bool {
	ctx, cancel := context.WithTimeout(ctx, barTimeout)
	defer cancel()
	request := &peerv1.RunRequest{
		Ticket:           t.String(),
		Epoch:            t.Epoch,
		AvailabilityZone: t.AvailabilityZone,
		Bar:              true,
	}
	for {
		claim, ok := r.state.Epoch(t.AvailabilityZone)
		if previous, changed := r.claims.previous(t.AvailabilityZone, t.Epoch); changed && request.NotStartedEpoch == 0 {
			_, request.NotStartedEpoch = r.barAt(ctx, previous, request)
		}
		if !ok {
			return false
		}
		barred, declared := r.barAt(ctx, claim, request)
		if barred {
			return true
		}
		if declared == 0 && request.NotStartedEpoch == 0 {
			return false
		}
		if !r.pause(ctx) {
			return false
		}
	}
}

// barAt asks one daemon to bar a ticket. declared is the epoch up to which it
// declares that the ticket has not started.
func (r *Router) barAt(ctx context.Context, claim zone.Claim, request *peerv1.RunRequest) (barred bool, declared uint64) {
	response, err := r.clients.To(r.address(claim)).Run(ctx, connect.NewRequest(request))
	if err != nil {
		return false, 0
	}
	return response.Msg.Verdict == peerv1.Verdict_VERDICT_NOT_RUN && response.Msg.Problem == nil, response.Msg.NotStartedEpoch
}
