package gateway

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"testing"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/catalog"
	"github.com/bluebellstile/bluebellstile/internal/fleetpeer"
	"github.com/bluebellstile/bluebellstile/internal/leadership"
	"github.com/bluebellstile/bluebellstile/internal/logging"
	"github.com/bluebellstile/bluebellstile/internal/problem"
	"github.com/bluebellstile/bluebellstile/internal/workload"
	"github.com/pkg/errors"
)

const keyBound = 4 * time.Second

// fakeClock is a clock that only the test advances.
type fakeClock struct{ now time.Duration }

func (c *fakeClock) Now() time.Duration { return c.now }
func (c *fakeClock) Wall() time.Time    { return time.Unix(0, 0).Add(c.now) }

// runningClock follows the system clock.
type runningClock struct{ origin time.Time }

func (c runningClock) Now() time.Duration { return time.Since(c.origin) + time.Hour }
func (c runningClock) Wall() time.Time    { return time.Now() }

type fakeCatalogs struct {
	catalog     *catalog.Catalog
	confirmedAt time.Duration
}

func (c *fakeCatalogs) Catalog() *catalog.Catalog  { return c.catalog }
func (c *fakeCatalogs) ConfirmedAt() time.Duration { return c.confirmedAt }

// fakeHolder returns the errors of its script in order, and the last one for
// all further calls.
type fakeHolder struct {
	script []error
	calls  int
	// refusal is the result of Submit, state of Status and found of Cancel.
	refusal *problem.Problem
	state   workload.State
	found   bool
}

func (h *fakeHolder) next() error {
	i := min(h.calls, len(h.script)-1)
	h.calls++
	if i < 0 {
		return nil
	}
	return h.script[i]
}

func (h *fakeHolder) Submit(context.Context, *workload.Job, int64) (*problem.Problem, error) {
	return h.refusal, h.next()
}

func (h *fakeHolder) Status(context.Context, workload.ID, string) (workload.State, error) {
	return h.state, h.next()
}

func (h *fakeHolder) Cancel(context.Context, workload.ID, string) (bool, error) {
	return h.found, h.next()
}

func (h *fakeHolder) Waiting(context.Context, string) (int, error) { return 7, h.next() }

type fakeHolders struct {
	claim   leadership.Claim
	holder  *fakeHolder
	changed chan struct{}
}

func (h *fakeHolders) Current() leadership.Claim                  { return h.claim }
func (h *fakeHolders) Changed() <-chan struct{}                   { return h.changed }
func (h *fakeHolders) HolderOf(leadership.Claim) fleetpeer.Holder { return h.holder }
func discardLogger() *slog.Logger                                 { return slog.New(slog.NewTextHandler(io.Discard, nil)) }
func held(holder *fakeHolder) *fakeHolders {
	return &fakeHolders{claim: leadership.Claim{Epoch: 3}, holder: holder, changed: make(chan struct{})}
}
func spec() workload.Spec { return workload.Spec{Steps: []workload.Step{{Count: 1}}} }

func testCatalog(t *testing.T) *catalog.Catalog {
	t.Helper()
	c := &catalog.Catalog{
		Version: 4,
		Queues: []catalog.Queue{
			{Name: "keyed", Host: "h", Prefix: "/a/", Pool: "p"},
			{Name: "deep", Host: "h", Prefix: "/a/b/", Pool: "p"},
			{Name: "open", Host: "h", Prefix: "/open/", Pool: "p", Open: true},
		},
		Pools:     map[string]catalog.Pool{"p": {Name: "p"}},
		Customers: map[string]catalog.Customer{"c": {Name: "c", Keys: []string{"k"}}},
		Limits:    catalog.Limits{MaxBodyBytes: 100, MaxHeaderBytes: 50},
	}
	if err := c.Index(); err != nil {
		t.Fatal(err)
	}
	return c
}

func TestAdmit(t *testing.T) {
	c := testCatalog(t)
	fresh, stale := time.Hour-keyBound, time.Hour-keyBound-time.Millisecond
	for name, tc := range map[string]struct {
		catalog         *catalog.Catalog
		confirmedAt     time.Duration
		host, path, key string
		queue           string
		rest            string
		code            problem.Code
	}{
		"key in force":                  {c, fresh, "h", "/a/1", "k", "keyed", "1", ""},
		"longest prefix":                {c, fresh, "h", "/a/b/1", "k", "deep", "1", ""},
		"open queue":                    {c, fresh, "h", "/open/1", "", "open", "1", ""},
		"open queue, no proof":          {c, stale, "h", "/open/1", "", "open", "1", ""},
		"no key":                        {c, fresh, "h", "/a/1", "", "", "", problem.KeyRefused},
		"wrong key":                     {c, fresh, "h", "/a/1", "x", "", "", problem.KeyRefused},
		"key in force, no proof":        {c, stale, "h", "/a/1", "k", "", "", problem.ConfigNotFresh},
		"wrong key, no proof":           {c, stale, "h", "/a/1", "x", "", "", problem.ConfigNotFresh},
		"unknown path":                  {c, fresh, "h", "/none/1", "k", "", "", problem.UnknownQueue},
		"unknown host":                  {c, fresh, "g", "/a/1", "k", "", "", problem.UnknownQueue},
		"unknown path, no proof":        {c, stale, "h", "/none/1", "k", "", "", problem.ConfigNotFresh},
		"no configuration":              {nil, fresh, "h", "/a/1", "k", "", "", problem.ConfigNotFresh},
		"prefix of a prefix, not whole": {c, fresh, "h", "/ope/1", "", "", "", problem.UnknownQueue},
	} {
		t.Run(name, func(t *testing.T) {
			g := New(&fakeCatalogs{catalog: tc.catalog, confirmedAt: tc.confirmedAt}, held(&fakeHolder{}), &fakeClock{now: time.Hour}, keyBound, discardLogger())
			a, p := g.Admit(tc.host, tc.path, tc.key)
			if tc.code != "" {
				if p == nil || p.Code != tc.code || p.Verdict != problem.NotRun || p.Remedy == "" {
					t.Errorf("got %v, want a refusal %s with a remedy", p, tc.code)
				}
				return
			}
			if p != nil || a.Queue.Name != tc.queue || a.Rest != tc.rest || a.Version != 4 || a.MaxBody != 100 {
				t.Errorf("got %+v, %v", a, p)
			}
		})
	}
}

// TestSubmitVerdict checks that a submission gets the verdict NotRun only if
// the job certainly was not stored.
func TestSubmitVerdict(t *testing.T) {
	broken := errors.New("connection reset")
	for name, tc := range map[string]struct {
		script  []error
		refusal *problem.Problem
		verdict problem.Verdict
		retry   bool
	}{
		"stored":                       {script: []error{nil}, verdict: problem.Done},
		"not sent at first":            {script: []error{fleetpeer.ErrNotSent, fleetpeer.ErrNotHolder, nil}, verdict: problem.Done},
		"unanswered at first":          {script: []error{broken, nil}, verdict: problem.Done},
		"never sent":                   {script: []error{fleetpeer.ErrNotSent}, verdict: problem.NotRun, retry: true},
		"nobody holds":                 {script: []error{fleetpeer.ErrNotHolder}, verdict: problem.NotRun, retry: true},
		"never answered":               {script: []error{broken}, verdict: problem.Unknown},
		"unanswered, then nobody held": {script: []error{broken, fleetpeer.ErrNotHolder}, verdict: problem.Unknown},
		"refused by the holder": {
			script:  []error{nil},
			refusal: problem.Refuse(problem.QueueFull, "later", "full").WithRetryAfter(time.Second),
			verdict: problem.NotRun, retry: true,
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			clock := runningClock{origin: time.Now()}
			g := New(&fakeCatalogs{catalog: testCatalog(t), confirmedAt: clock.Now()}, held(&fakeHolder{script: tc.script, refusal: tc.refusal}), clock, keyBound, discardLogger())
			a, p := g.Admit("h", "/a/1", "k")
			if p != nil {
				t.Fatal(p)
			}
			const timeout = 2 * time.Second
			ctx, cancel := context.WithTimeout(context.Background(), timeout)
			defer cancel()
			began := time.Now()
			p = g.Submit(ctx, a, "00000000000000aa", spec(), time.Now())
			if took := time.Since(began); took > timeout {
				t.Errorf("answered after %s, later than the caller's deadline", took)
			}
			verdict := problem.Done
			if p != nil {
				verdict = p.Verdict
			}
			if verdict != tc.verdict {
				t.Errorf("got %v, want the verdict %q", p, tc.verdict)
			}
			if tc.retry && p.RetryAfter <= 0 {
				t.Errorf("%v has no RetryAfter", p)
			}
		})
	}
}

// TestUnknownJobNeedsHolder checks that a job is reported as unknown only if a
// holder says so.
func TestUnknownJobNeedsHolder(t *testing.T) {
	clock := runningClock{origin: time.Now()}
	ask := func(holder *fakeHolder) (*problem.Problem, *problem.Problem) {
		g := New(&fakeCatalogs{catalog: testCatalog(t), confirmedAt: clock.Now()}, held(holder), clock, keyBound, discardLogger())
		a, p := g.Admit("h", "/a/1", "k")
		if p != nil {
			t.Fatal(p)
		}
		ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
		defer cancel()
		_, status := g.Status(ctx, a, "00000000000000aa")
		return status, g.Cancel(ctx, a, "00000000000000aa")
	}
	status, cancelled := ask(&fakeHolder{})
	if status == nil || status.Code != problem.UnknownJob || cancelled == nil || cancelled.Code != problem.UnknownJob {
		t.Errorf("a holder without the job: %v, %v", status, cancelled)
	}
	status, cancelled = ask(&fakeHolder{script: []error{fleetpeer.ErrNotHolder}})
	if status == nil || status.Code == problem.UnknownJob || cancelled == nil || cancelled.Code == problem.UnknownJob {
		t.Errorf("nobody holds: %v, %v", status, cancelled)
	}
	status, cancelled = ask(&fakeHolder{state: workload.StateRunning, found: true})
	if status != nil || cancelled != nil {
		t.Errorf("a known job: %v, %v", status, cancelled)
	}
}

// TestRequestWaitsForHolder checks that a request is served soon after there is
// a holder.
func TestRequestWaitsForHolder(t *testing.T) {
	clock := runningClock{origin: time.Now()}
	holders := &delayedHolders{fakeHolders: held(&fakeHolder{}), from: time.Now().Add(300 * time.Millisecond)}
	g := New(&fakeCatalogs{catalog: testCatalog(t), confirmedAt: clock.Now()}, holders, clock, keyBound, discardLogger())
	a, p := g.Admit("h", "/a/1", "k")
	if p != nil {
		t.Fatal(p)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	began := time.Now()
	if n, p := g.Waiting(ctx, a); p != nil || n != 7 {
		t.Errorf("got %d, %v", n, p)
	}
	if took := time.Since(began); took > time.Second {
		t.Errorf("took %s, although there was a holder after 0.3 s", took)
	}
}

// delayedHolders has no holder before the instant from.
type delayedHolders struct {
	*fakeHolders
	from time.Time
}

func (h *delayedHolders) Current() leadership.Claim {
	if time.Now().Before(h.from) {
		return leadership.Claim{}
	}
	return h.claim
}

// TestLinesOfUnknownJobsAreBounded plays the load of many requests for ids that nobody
// submitted, each another one. Their lines are bounded, and say how many were left out.
func TestLinesOfUnknownJobsAreBounded(t *testing.T) {
	const requests, most = 5000, 100
	var out bytes.Buffer
	now := time.Unix(1000, 0)
	logger := slog.New(logging.NewLimiter(slog.NewTextHandler(&out, nil), slog.LevelInfo, func() time.Time { return now }))
	g := New(&fakeCatalogs{catalog: testCatalog(t), confirmedAt: time.Hour}, held(&fakeHolder{}), &fakeClock{now: time.Hour}, keyBound, logger)
	a, p := g.Admit("h", "/a/x", "k")
	if p != nil {
		t.Fatal(p)
	}
	for i := range requests {
		id := workload.ID(fmt.Sprintf("%016x", i))
		if _, p := g.Status(context.Background(), a, id); p == nil || p.Code != problem.UnknownJob {
			t.Fatalf("the state of an unknown job: %v", p)
		}
		if p := g.Cancel(context.Background(), a, id); p == nil || p.Code != problem.UnknownJob {
			t.Fatalf("cancelling an unknown job: %v", p)
		}
	}
	now = now.Add(2 * time.Second)
	_, _ = g.Status(context.Background(), a, "ffffffffffffffff")
	lines := bytes.Count(out.Bytes(), []byte("\n"))
	if lines == 0 || lines > most {
		t.Errorf("%d lines for %d requests, at most %d are allowed", lines, 2*requests, most)
	}
	if !bytes.Contains(out.Bytes(), []byte(logging.SuppressedMessage)) {
		t.Error("no line says how many were left out")
	}
}
