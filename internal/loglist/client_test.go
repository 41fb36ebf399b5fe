package loglist_test

import (
	"context"
	"expvar"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/goleak"

	"github.com/bluebellstile/bluebellstile/internal/loglist"
	"github.com/bluebellstile/bluebellstile/internal/standin"
	"github.com/bluebellstile/bluebellstile/internal/testrelay"
)

// setUp starts a stand-in for the platform's log and returns it with a client
// that retries quickly.
func setUp(t *testing.T, opts standin.LogOptions, more ...loglist.Option) (*standin.Log, *loglist.Client) {
	t.Helper()
	log := standin.NewLog(opts)
	server, err := standin.Serve(log, "127.0.0.1:0", "")
	if err != nil {
		t.Fatal(err)
	}
	client := newClient(server.URL(), more...)
	t.Cleanup(func() {
		client.Close()
		if err := server.Close(); err != nil {
			t.Error(err)
		}
		goleak.VerifyNone(t)
	})
	return log, client
}

func newClient(url string, more ...loglist.Option) *loglist.Client {
	opts := []loglist.Option{
		loglist.WithBackoff(time.Millisecond),
		loglist.WithRetryBudget(1000, 1000),
		loglist.WithBreaker(1000, time.Hour),
	}
	return loglist.NewClient(url, url, append(opts, more...)...)
}

func set(t *testing.T, faults *standin.Faults, name string, value any) {
	t.Helper()
	if err := faults.Set(name, value); err != nil {
		t.Fatal(err)
	}
}

// records returns what the log holds.
func records(log *standin.Log) []loglist.Record {
	return log.Read(context.Background(), 0, 0, 0).Records
}

func TestAppendAndRead(t *testing.T) {
	root := new(expvar.Map).Init()
	_, client := setUp(t, standin.LogOptions{}, loglist.WithMetrics(root))
	ctx := loglist.WithRole(context.Background(), "claim")
	for i, id := range []string{"a", "b", "c"} {
		offset, err := client.Append(ctx, id, []byte(id))
		if err != nil || offset != uint64(i+1) {
			t.Fatalf("append %s: offset %d, %v", id, offset, err)
		}
	}
	page, err := client.Read(ctx, 2, 1, 0)
	if err != nil {
		t.Fatal(err)
	}
	if len(page.Records) != 1 || page.Records[0].ID != "b" || page.First != 1 || page.End != 4 {
		t.Fatalf("page %+v", page)
	}
	if appends := root.Get(loglist.MetricAppends).String(); appends != `{"claim": 3}` {
		t.Fatalf("appends by role: %s", appends)
	}
}

func TestReadWaitsForAppend(t *testing.T) {
	log, client := setUp(t, standin.LogOptions{})
	pages := make(chan *loglist.ReadResponse, 1)
	go func() {
		page, err := client.Read(context.Background(), 1, 10, time.Minute)
		if err != nil {
			t.Error(err)
		}
		pages <- page
	}()
	log.Append("a", nil)
	if page := <-pages; page == nil || len(page.Records) != 1 {
		t.Fatalf("page %+v", page)
	}
}

func TestLostResponseIsResolvedByReadingBack(t *testing.T) {
	root := new(expvar.Map).Init()
	log, client := setUp(t, standin.LogOptions{}, loglist.WithMetrics(root))
	log.Append("other", nil)
	set(t, log.Faults(), "lose_answers", 1)
	// The response that is lost here is that of the read before the first
	// append.
	if _, err := client.Append(context.Background(), "a", nil); err != nil {
		t.Fatal(err)
	}
	set(t, log.Faults(), "lose_answers", 1)
	offset, err := client.Append(context.Background(), "b", nil)
	if err != nil || offset != 3 {
		t.Fatalf("offset %d, %v", offset, err)
	}
	if held := records(log); len(held) != 3 {
		t.Fatalf("log holds %+v", held)
	}
	if resolved := root.Get(loglist.MetricResolved).String(); resolved != "1" {
		t.Fatalf("resolved %s", resolved)
	}
}

// TestLostResponsesOnLink checks that an append succeeds and adds exactly one
// record when the network drops every response until the record is in the log.
func TestLostResponsesOnLink(t *testing.T) {
	log := standin.NewLog(standin.LogOptions{})
	server, err := standin.Serve(log, "127.0.0.1:0", "")
	if err != nil {
		t.Fatal(err)
	}
	relay, err := testrelay.New(server.Addr())
	if err != nil {
		t.Fatal(err)
	}
	client := newClient("http://"+relay.Addr(), loglist.WithMaxAttempts(1000), loglist.WithTimeout(time.Minute))
	t.Cleanup(func() {
		client.Close()
		if err := errors.WithMessage(relay.Close(), "relay"); err != nil {
			t.Error(err)
		}
		if err := server.Close(); err != nil {
			t.Error(err)
		}
		goleak.VerifyNone(t)
	})
	if _, err := client.Read(context.Background(), 0, 1, 0); err != nil {
		t.Fatal(err)
	}
	relay.Set(testrelay.Fault{DropFromTarget: true})
	go func() {
		log.Read(context.Background(), 1, 1, time.Minute)
		relay.Heal()
	}()
	offset, err := client.Append(context.Background(), "a", nil)
	if err != nil || offset != 1 || len(records(log)) != 1 {
		t.Fatalf("offset %d, %v; log holds %+v", offset, err, records(log))
	}
}

// TestFailureKinds checks the error kind of failed appends, and that the log
// holds the record only if the kind allows it.
func TestFailureKinds(t *testing.T) {
	cases := map[string]struct {
		opts   standin.LogOptions
		faults map[string]any
		id     string
		bytes  int
		kind   loglist.ErrorKind
		held   int
	}{
		"responses and reads lost": {
			faults: map[string]any{"lose_answers": -1}, id: "a", kind: loglist.KindAppendUnknown, held: 1,
		},
		"reads refused": {
			faults: map[string]any{"refuse_reads": true, "lose_answers": 2}, id: "a", kind: loglist.KindAppendUnknown, held: 1,
		},
		"appends refused by 5xx": {
			faults: map[string]any{"refuse_appends": true}, id: "a", kind: loglist.KindAppendUnknown,
		},
		"over the rate": {
			opts: standin.LogOptions{AppendsPerSecond: 1e-9}, id: "a", kind: loglist.KindUnavailable, held: 1,
		},
		"too large": {id: "a", bytes: loglist.MaxRecordBytes + 1, kind: loglist.KindTooLarge},
		"no id":     {kind: loglist.KindBadRequest},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			log, client := setUp(t, c.opts)
			if c.opts.AppendsPerSecond > 0 {
				if _, err := client.Append(context.Background(), "first", nil); err != nil {
					t.Fatal(err)
				}
			}
			for fault, value := range c.faults {
				set(t, log.Faults(), fault, value)
			}
			_, err := client.Append(context.Background(), c.id, make([]byte, c.bytes))
			if kind := loglist.KindOf(err); kind != c.kind {
				t.Fatalf("kind %q: %v", kind, err)
			}
			if held := records(log); len(held) != c.held {
				t.Fatalf("log holds %+v", held)
			}
		})
	}
}

func TestAppendToClosedPortHasNoEffect(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	server.Close()
	client := newClient(server.URL)
	defer client.Close()
	if _, err := client.Append(context.Background(), "a", nil); loglist.KindOf(err) != loglist.KindUnavailable {
		t.Fatal(err)
	}
}

// TestMalformedResponses checks that responses that no log can give are reported
// as errors.
func TestMalformedResponses(t *testing.T) {
	for _, body := range []string{`{}`, `[]`, `{"first":2,"end":1}`, `{"first":1,"end":3,"records":[{"offset":2},{"offset":1}]}`} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write([]byte(body))
		}))
		client := newClient(server.URL)
		if page, err := client.Read(context.Background(), 1, 1, 0); loglist.KindOf(err) != loglist.KindUnavailable {
			t.Errorf("read with response %s: %+v, %v", body, page, err)
		}
		if _, err := client.Append(context.Background(), "a", nil); loglist.KindOf(err) != loglist.KindAppendUnknown {
			t.Errorf("append with response %s: %v", body, err)
		}
		client.Close()
		server.Close()
	}
}

func TestReadBelowRetention(t *testing.T) {
	log, client := setUp(t, standin.LogOptions{MaxRecords: 2})
	for range 5 {
		log.Append("a", nil)
	}
	_, err := client.Read(context.Background(), 3, 10, 0)
	var trimmed *loglist.Error
	if !errors.As(err, &trimmed) || trimmed.Kind != loglist.KindTrimmed || trimmed.First != 4 {
		t.Fatalf("read below retention: %v", err)
	}
	page, err := client.Read(context.Background(), 0, 10, 0)
	if err != nil || page.Records[0].Offset != 4 {
		t.Fatalf("read from the first retained record: %+v, %v", page, err)
	}
}

func TestInstances(t *testing.T) {
	list := standin.NewList([]loglist.Instance{{ID: "w1"}}, time.Hour)
	server, err := standin.Serve(list, "127.0.0.1:0", "")
	if err != nil {
		t.Fatal(err)
	}
	client := newClient(server.URL())
	t.Cleanup(func() {
		client.Close()
		if err := server.Close(); err != nil {
			t.Error(err)
		}
		goleak.VerifyNone(t)
	})
	list.Set([]loglist.Instance{{ID: "w2"}})
	got, err := client.Instances(context.Background(), loglist.Filter{})
	if err != nil || len(got.Instances) != 1 || got.Instances[0].ID != "w1" {
		t.Fatalf("lagging list %+v, %v", got, err)
	}
	set(t, list.Faults(), "lag", "0s")
	got, err = client.Instances(context.Background(), loglist.Filter{})
	if err != nil || len(got.Instances) != 1 || got.Instances[0].ID != "w2" {
		t.Fatalf("list %+v, %v", got, err)
	}
}
