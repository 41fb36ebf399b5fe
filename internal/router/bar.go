package router

import (
	"context"

	"connectrpc.com/connect"
	peerv1 "github.com/bluebellstile/bluebellstile/internal/gen/peer/v1"
	"github.com/bluebellstile/bluebellstile/internal/ticket"
	"github.com/bluebellstile/bluebellstile/internal/zone"
)

// Bar bars a ticket at the zone's holder, so that it is not started from then on.
// It returns true if the request with the ticket has certainly not run and never
// will, and false otherwise, also if the holder does not answer within
// barTimeout. While the zone changes holders, the previous holder's
// declaration that the ticket has not started is passed on to the new holder.
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
		claim, ok := r.state.Claim(t.AvailabilityZone)
		if previous, changed := r.claims.previous(t.AvailabilityZone, t.Epoch); changed && request.NotStartedEpoch == 0 {
			_, request.NotStartedEpoch = r.barAtHolder(ctx, previous, request)
		}
		if !ok {
			return false
		}
		barred, declared := r.barAtHolder(ctx, claim, request)
		if barred {
			return true
		}
		if declared == 0 && request.NotStartedEpoch == 0 {
			return false
		}
		if !r.waitRetry(ctx) {
			return false
		}
	}
}

// barAtHolder asks one daemon to bar a ticket. declared is the epoch up to which
// the daemon declares that the ticket has not started, 0 if it declares nothing.
func (r *Router) barAtHolder(ctx context.Context, claim zone.Claim, request *peerv1.RunRequest) (barred bool, declared uint64) {
	response, err := r.clients.To(r.holderAddress(claim)).Run(ctx, connect.NewRequest(request))
	if err != nil {
		return false, 0
	}
	return response.Msg.Verdict == peerv1.Verdict_VERDICT_NOT_RUN && response.Msg.Problem == nil, response.Msg.NotStartedEpoch
}
