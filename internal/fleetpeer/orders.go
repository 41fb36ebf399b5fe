package fleetpeer

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"github.com/bluebellstile/bluebellstile/internal/controller"
	"github.com/bluebellstile/bluebellstile/internal/dispatch"
	"github.com/bluebellstile/bluebellstile/internal/fleet"
	fleetv1 "github.com/bluebellstile/bluebellstile/internal/gen/fleet/v1"
	"github.com/bluebellstile/bluebellstile/internal/workload"
	"github.com/pkg/errors"
)

// OpenSession implements dispatch.Peer.
func (c *Client) OpenSession(ctx context.Context, epoch int64) (string, time.Duration, error) {
	r, err := call(ctx, c.orders.OpenSession, &fleetv1.OpenSessionRequest{Epoch: epoch})
	if err != nil {
		return "", 0, err
	}
	return r.Session, fromMicros(r.ClockUs), nil
}

// Exchange implements dispatch.Peer.
func (c *Client) Exchange(ctx context.Context, session string, freshUntil time.Duration, orders []dispatch.Order) (dispatch.ExchangeResponse, bool, error) {
	request := &fleetv1.ExchangeRequest{Session: session, FreshUntilUs: freshUntil.Microseconds()}
	for i := range orders {
		request.Orders = append(request.Orders, orderToWire(&orders[i]))
	}
	r, err := call(ctx, c.orders.Exchange, request)
	if err != nil {
		return dispatch.ExchangeResponse{}, !errors.Is(err, ErrNotSent) && !errors.Is(err, ErrNotHolder), err
	}
	out := dispatch.ExchangeResponse{Leaving: r.Leaving, Clock: fromMicros(r.ClockUs)}
	for _, result := range r.Results {
		decoded, err := resultFromWire(result)
		if err != nil {
			return dispatch.ExchangeResponse{}, true, err
		}
		out.Results = append(out.Results, decoded)
	}
	return out, true, nil
}

// OpenSession implements the service.
func (s *server) OpenSession(_ context.Context, r *connect.Request[fleetv1.OpenSessionRequest]) (*connect.Response[fleetv1.OpenSessionResponse], error) {
	id, clock, err := s.local.Sender().OpenSession(r.Msg.Epoch)
	if err != nil {
		return nil, connect.NewError(connect.CodeFailedPrecondition, err)
	}
	return connect.NewResponse(&fleetv1.OpenSessionResponse{Session: id, ClockUs: clock.Microseconds()}), nil
}

// Exchange implements the service.
func (s *server) Exchange(ctx context.Context, r *connect.Request[fleetv1.ExchangeRequest]) (*connect.Response[fleetv1.ExchangeResponse], error) {
	orders := make([]dispatch.Order, 0, len(r.Msg.Orders))
	for _, o := range r.Msg.Orders {
		order, err := orderFromWire(o)
		if err != nil {
			return nil, connect.NewError(connect.CodeInvalidArgument, err)
		}
		orders = append(orders, order)
	}
	answer, err := s.local.Sender().Exchange(ctx, r.Msg.Session, fromMicros(r.Msg.FreshUntilUs), orders)
	if err != nil {
		return nil, connect.NewError(connect.CodeFailedPrecondition, err)
	}
	out := &fleetv1.ExchangeResponse{Leaving: answer.Leaving, ClockUs: answer.Clock.Microseconds()}
	for i := range answer.Results {
		out.Results = append(out.Results, resultToWire(&answer.Results[i]))
	}
	return connect.NewResponse(out), nil
}

func fromMicros(n int64) time.Duration { return time.Duration(n) * time.Microsecond }

func keyToWire(k fleet.Key) *fleetv1.RunKey {
	return &fleetv1.RunKey{Task: k.Task.String(), Number: int64(k.Number)}
}

func keyFromWire(k *fleetv1.RunKey) (fleet.Key, error) {
	task, ok := workload.ParseTaskID(k.GetTask())
	if !ok {
		return fleet.Key{}, errors.Errorf("%q is not a task id", k.GetTask())
	}
	return fleet.Key{Task: task, Number: int(k.GetNumber())}, nil
}

func targetToWire(t controller.Target) *fleetv1.Target {
	return &fleetv1.Target{Id: t.ID, Incarnation: t.Incarnation, Address: t.Address}
}

func targetFromWire(t *fleetv1.Target) controller.Target {
	return controller.Target{ID: t.GetId(), Incarnation: t.GetIncarnation(), Address: t.GetAddress()}
}

func orderToWire(o *dispatch.Order) *fleetv1.Order {
	out := &fleetv1.Order{Number: o.Number}
	switch {
	case o.Start != nil:
		out.Target = targetToWire(o.Start.Target)
		out.Order = &fleetv1.Order_Start{Start: &fleetv1.StartOrder{
			Run:        keyToWire(o.Start.Key),
			Payload:    o.Start.Payload,
			Checkpoint: o.Start.Checkpoint,
			Permit:     o.Start.Permit,
			DeadlineUs: o.Start.Deadline.Microseconds(),
		}}
	case o.Stop != nil:
		out.Target = targetToWire(o.Stop.Target)
		out.Order = &fleetv1.Order_Stop{Stop: keyToWire(o.Stop.Key)}
	case o.Pace != nil:
		out.Target = targetToWire(o.Pace.Target)
		out.Order = &fleetv1.Order_Pace{Pace: &fleetv1.PaceOrder{Run: keyToWire(o.Pace.Key), Percent: int64(o.Pace.Percent)}}
	case o.Hold != nil:
		out.Target = targetToWire(o.Hold.Target)
		out.Order = &fleetv1.Order_Hold{Hold: &fleetv1.HoldOrder{
			DeadlineUs: o.Hold.Deadline.Microseconds(),
			Acked:      o.Hold.Acked,
			WaitUs:     o.Hold.Wait.Microseconds(),
		}}
	case o.Ask != nil:
		out.Order = &fleetv1.Order_Ask{Ask: &fleetv1.Question{Step: o.Ask.Step, Endpoints: o.Ask.Endpoints, WaitUs: o.Ask.Wait.Microseconds()}}
	}
	return out
}

func orderFromWire(o *fleetv1.Order) (dispatch.Order, error) {
	out := dispatch.Order{Number: o.Number}
	target := targetFromWire(o.Target)
	var err error
	switch order := o.Order.(type) {
	case *fleetv1.Order_Start:
		out.Start = &controller.StartOrder{
			Target:     target,
			Payload:    order.Start.Payload,
			Checkpoint: order.Start.Checkpoint,
			Permit:     order.Start.Permit,
			Deadline:   fromMicros(order.Start.DeadlineUs),
		}
		out.Start.Key, err = keyFromWire(order.Start.Run)
	case *fleetv1.Order_Stop:
		out.Stop = &controller.StopOrder{Target: target}
		out.Stop.Key, err = keyFromWire(order.Stop)
	case *fleetv1.Order_Pace:
		out.Pace = &controller.PaceOrder{Target: target, Percent: int(order.Pace.Percent)}
		out.Pace.Key, err = keyFromWire(order.Pace.Run)
	case *fleetv1.Order_Hold:
		out.Hold = &controller.HoldOrder{
			Target:   target,
			Deadline: fromMicros(order.Hold.DeadlineUs),
			Acked:    order.Hold.Acked,
			Wait:     fromMicros(order.Hold.WaitUs),
		}
	case *fleetv1.Order_Ask:
		out.Ask = &dispatch.Question{Step: order.Ask.Step, Endpoints: order.Ask.Endpoints, Wait: fromMicros(order.Ask.WaitUs)}
	default:
		err = errors.Errorf("order %d is of an unknown kind; run the same version on all daemons", o.Number)
	}
	return out, err
}

func resultToWire(r *dispatch.Result) *fleetv1.Result {
	out := &fleetv1.Result{
		Number:       r.Number,
		Fate:         int64(r.Outcome.Fate),
		Reason:       string(r.Outcome.Reason),
		Detail:       r.Outcome.Detail,
		ClockUs:      r.Outcome.Reading.Clock.Microseconds(),
		ConnectingUs: r.Outcome.Connecting.Microseconds(),
		TookUs:       r.Outcome.Took.Microseconds(),
	}
	if r.Report.Incarnation != 0 {
		out.Report = reportToWire(&r.Report)
	}
	if r.Answer.Permits != nil {
		out.Answer = &fleetv1.AskResponse{Permits: r.Answer.Permits, ValidMs: r.Answer.Valid.Milliseconds()}
	}
	return out
}

func resultFromWire(r *fleetv1.Result) (dispatch.Result, error) {
	out := dispatch.Result{Number: r.Number, Outcome: controller.Outcome{
		Fate:       controller.Fate(r.Fate),
		Reason:     controller.Reason(r.Reason),
		Detail:     r.Detail,
		Reading:    fleet.ClockReading{Clock: fromMicros(r.ClockUs)},
		Connecting: fromMicros(r.ConnectingUs),
		Took:       fromMicros(r.TookUs),
	}}
	if r.Answer != nil {
		out.Answer = controller.EligibilityAnswer{Permits: r.Answer.Permits, Valid: time.Duration(r.Answer.ValidMs) * time.Millisecond}
	}
	var err error
	if r.Report != nil {
		out.Report, err = reportFromWire(r.Report)
	}
	return out, err
}

func reportToWire(r *controller.Report) *fleetv1.Report {
	out := &fleetv1.Report{Incarnation: r.Incarnation, Partial: r.Partial, Draining: r.Draining, RemainingUs: r.Remaining.Microseconds()}
	for i := range r.Running {
		row := &r.Running[i]
		out.Running = append(out.Running, &fleetv1.RunningRow{Run: keyToWire(row.Key), Checkpoint: row.Checkpoint, Progress: row.Progress, Load: row.Load})
	}
	for i := range r.Ended {
		row := &r.Ended[i]
		out.Ended = append(out.Ended, &fleetv1.EndedRow{Number: row.Number, Run: keyToWire(row.Key), End: int64(row.End), Checkpoint: row.Checkpoint})
	}
	return out
}

func reportFromWire(r *fleetv1.Report) (controller.Report, error) {
	out := controller.Report{Incarnation: r.Incarnation, Partial: r.Partial, Draining: r.Draining, Remaining: fromMicros(r.RemainingUs)}
	for _, row := range r.Running {
		key, err := keyFromWire(row.Run)
		if err != nil {
			return controller.Report{}, err
		}
		out.Running = append(out.Running, controller.RunningRow{Key: key, Checkpoint: row.Checkpoint, Progress: row.Progress, Load: row.Load})
	}
	for _, row := range r.Ended {
		key, err := keyFromWire(row.Run)
		if err != nil {
			return controller.Report{}, err
		}
		out.Ended = append(out.Ended, controller.EndedRow{Number: row.Number, Key: key, End: workload.End(row.End), Checkpoint: row.Checkpoint})
	}
	return out, nil
}
