package loglist_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/bluebellstile/bluebellstile/internal/loglist"
	"github.com/bluebellstile/bluebellstile/internal/standin"
)

func TestBreakerFailsFast(t *testing.T) {
	var calls atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		calls.Add(1)
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer server.Close()
	client := newClient(server.URL, loglist.WithBreaker(2, time.Hour), loglist.WithMaxAttempts(2))
	defer client.Close()
	for range 5 {
		if _, err := client.Read(context.Background(), 1, 1, 0); loglist.KindOf(err) != loglist.KindUnavailable {
			t.Fatal(err)
		}
	}
	if n := calls.Load(); n != 2 {
		t.Fatalf("%d calls", n)
	}
	// Appends have a breaker of their own, which two failed attempts open. From
	// then on nothing is sent, so an append certainly has no effect.
	for _, kind := range []loglist.ErrorKind{loglist.KindAppendUnknown, loglist.KindAppendUnknown, loglist.KindUnavailable} {
		if _, err := client.Append(context.Background(), "a", nil); loglist.KindOf(err) != kind {
			t.Fatal(err)
		}
	}
}

// TestCallerTimeoutsDontOpenBreaker checks that the breaker stays closed when
// callers give up on a slow log long before an attempt's timeout.
func TestCallerTimeoutsDontOpenBreaker(t *testing.T) {
	log, client := setUp(t, standin.LogOptions{}, loglist.WithBreaker(1, time.Hour), loglist.WithTimeout(time.Hour))
	set(t, log.Faults(), "latency", "1h")
	for range 3 {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Millisecond)
		if _, err := client.Read(ctx, 1, 1, 0); !errors.Is(err, context.DeadlineExceeded) {
			t.Fatal(err)
		}
		cancel()
	}
	if state := client.BreakerState("read"); state != loglist.BreakerClosed {
		t.Fatalf("breaker is %s", state)
	}
}

// TestReadShrinksPage checks that a read whose page is too large is repeated
// with a lower limit until the page fits.
func TestReadShrinksPage(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("limit") != "1" {
			_, _ = w.Write(make([]byte, loglist.MaxResponseBytes+1))
			return
		}
		_, _ = w.Write([]byte(`{"first":1,"end":3,"records":[{"offset":1}]}`))
	}))
	defer server.Close()
	client := newClient(server.URL)
	defer client.Close()
	if page, err := client.Read(context.Background(), 1, 100, 0); err != nil || len(page.Records) != 1 {
		t.Fatalf("page %+v, %v", page, err)
	}
}

func TestRetryBudget(t *testing.T) {
	var calls atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		calls.Add(1)
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer server.Close()
	const burst, reads = 3, 10
	client := newClient(server.URL, loglist.WithRetryBudget(0, burst))
	defer client.Close()
	for range reads {
		if _, err := client.Read(context.Background(), 1, 1, 0); err == nil {
			t.Fatal("read succeeded")
		}
	}
	if n := calls.Load(); n != reads+burst {
		t.Fatalf("%d calls", n)
	}
}
