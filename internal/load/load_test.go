package load

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/bluebellstile/bluebellstile/internal/client"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

func TestRunCountsEveryOutcome(t *testing.T) {
	replies := []error{
		nil,
		&client.Error{Verdict: client.VerdictNotRun, Code: "queue_full"},
		&client.Error{Verdict: client.VerdictUnknown, Kind: client.KindBroken},
		&client.Error{Kind: client.KindFailed, Verdict: client.VerdictUnknown, Code: "task_failed"},
		errors.New("something else"),
	}
	var sent atomic.Int64
	result, err := Run(t.Context(), Options{
		Rate:        1000,
		Duration:    100 * time.Millisecond,
		MaxInFlight: 1000,
		Send:        func(context.Context) error { return replies[int(sent.Add(1)-1)%len(replies)] },
	})
	if err != nil {
		t.Fatal(err)
	}
	if result.Due != 100 || result.Skipped != 0 || sent.Load() != 100 {
		t.Errorf("due %d, skipped %d, sent %d; want 100, 0, 100", result.Due, result.Skipped, sent.Load())
	}
	want := map[Outcome]int64{OutcomeDone: 20, OutcomeNotRun: 20, OutcomeUnknown: 40, OutcomeFailed: 20}
	for outcome, count := range want {
		if got := result.Count(outcome); got != count {
			t.Errorf("%s: %d, want %d", outcome, got, count)
		}
	}
	if result.Codes["queue_full"] != 20 || result.Codes["broken"] != 20 || result.Codes["task_failed"] != 20 {
		t.Errorf("codes %v", result.Codes)
	}
}

// TestSlowAnswersDontSlowTheLoad delays every answer until all requests have
// fallen due.
func TestSlowAnswersDontSlowTheLoad(t *testing.T) {
	const requests = 50
	release := make(chan struct{})
	var sent atomic.Int64
	result, err := Run(t.Context(), Options{
		Rate:        1000,
		Duration:    requests * time.Millisecond,
		MaxInFlight: requests,
		Send: func(context.Context) error {
			if sent.Add(1) == requests {
				close(release)
			}
			<-release
			return nil
		},
	})
	if err != nil || result.Count(OutcomeDone) != requests {
		t.Fatalf("got %+v, %v", result, err)
	}
	// The first request waited for the last one, which fell due 49 ms later.
	if longest := result.Rows[0].Latency.Max; longest < 48_000 {
		t.Errorf("the longest latency is %d us", longest)
	}
}

func TestRequestsBeyondMaxInFlightAreSkipped(t *testing.T) {
	release := make(chan struct{})
	done := make(chan *Result)
	var sent atomic.Int64
	go func() {
		result, _ := Run(context.Background(), Options{
			Rate:           1000,
			Duration:       20 * time.Millisecond,
			MaxInFlight:    3,
			ProgressPeriod: time.Nanosecond,
			Progress: func(s Snapshot) {
				if s.Due == 20 {
					close(release)
				}
			},
			Send: func(context.Context) error {
				sent.Add(1)
				<-release
				return nil
			},
		})
		done <- result
	}()
	result := <-done
	if sent.Load() != 3 || result.Skipped != 17 || result.Due != 20 {
		t.Errorf("sent %d, got %+v", sent.Load(), result)
	}
}

func TestRunStopsWithItsContext(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	result, err := Run(ctx, Options{
		Rate:        1000,
		Duration:    time.Hour,
		MaxInFlight: 10,
		Send: func(context.Context) error {
			cancel()
			return nil
		},
	})
	if err != nil || result.Count(OutcomeDone) == 0 {
		t.Errorf("got %+v, %v", result, err)
	}
}

func TestRunRejectsInvalidOptions(t *testing.T) {
	send := func(context.Context) error { return nil }
	for _, o := range []Options{
		{Duration: 1, MaxInFlight: 1, Send: send},
		{Rate: 1, MaxInFlight: 1, Send: send},
		{Rate: 1, Duration: 1, Send: send},
		{Rate: 1, Duration: 1, MaxInFlight: 1},
	} {
		if _, err := Run(t.Context(), o); err == nil {
			t.Errorf("accepted %+v", o)
		}
	}
}
