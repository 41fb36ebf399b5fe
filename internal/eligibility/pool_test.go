package eligibility

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/controller"
	"github.com/pkg/errors"
)

// lanes counts what is under way in each lane.
type fakeLane struct {
	mu      sync.Mutex
	depth   int
	deepest int
	calls   int
	fails   bool
	took    time.Duration
}

func (l *fakeLane) Ask(ctx context.Context, _ string, _ []string) (controller.EligibilityAnswer, error) {
	l.mu.Lock()
	l.depth++
	l.calls++
	l.deepest = max(l.deepest, l.depth)
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		l.depth--
		l.mu.Unlock()
	}()
	if l.fails {
		return controller.EligibilityAnswer{}, errors.New("turned away")
	}
	select {
	case <-time.After(l.took):
		return controller.EligibilityAnswer{Permits: map[string]string{"e": "t"}}, nil
	case <-ctx.Done():
		return controller.EligibilityAnswer{}, ctx.Err()
	}
}

func pool(lanes map[string]*fakeLane) *Pool {
	origin := time.Now()
	p := NewPool(func() time.Duration { return time.Since(origin) + time.Hour })
	var list []Instance
	for name, l := range lanes {
		list = append(list, Instance{Name: name, Asker: l, Local: name == "own"})
	}
	p.SetInstances(list)
	return p
}

func question(urgent bool) *controller.AskOrder {
	return &controller.AskOrder{Step: "s", Endpoints: []string{"e"}, Cost: 20 * time.Millisecond, Urgent: urgent}
}

func askAll(t *testing.T, p *Pool, n int, urgent bool) (failed int) {
	t.Helper()
	var (
		group sync.WaitGroup
		mu    sync.Mutex
	)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	for range n {
		group.Go(func() {
			if _, err := p.Ask(ctx, question(urgent)); err != nil {
				mu.Lock()
				defer mu.Unlock()
				failed++
			}
		})
	}
	group.Wait()
	return failed
}

// TestQuestionsSpread shows that questions that take long go one to a lane, and
// not to the own one.
func TestQuestionsSpread(t *testing.T) {
	lanes := map[string]*fakeLane{"own": {took: 20 * time.Millisecond}, "a": {took: 20 * time.Millisecond}, "b": {took: 20 * time.Millisecond}}
	if failed := askAll(t, pool(lanes), 12, false); failed > 0 {
		t.Errorf("%d questions failed", failed)
	}
	if lanes["own"].calls > 0 {
		t.Errorf("%d long questions went through the own lane", lanes["own"].calls)
	}
	for name, l := range lanes {
		if l.deepest > 1 {
			t.Errorf("%d long questions at once in lane %s", l.deepest, name)
		}
		if name != "own" && l.calls == 0 {
			t.Errorf("lane %s is not used", name)
		}
	}
}

// TestUrgentQuestionsShareLanes shows the bound on urgent questions in a lane.
func TestUrgentQuestionsShareLanes(t *testing.T) {
	lanes := map[string]*fakeLane{"own": {took: 10 * time.Millisecond}, "a": {took: 10 * time.Millisecond}}
	if failed := askAll(t, pool(lanes), 40, true); failed > 0 {
		t.Errorf("%d questions failed", failed)
	}
	for name, l := range lanes {
		if l.deepest > urgentDepth || l.calls == 0 {
			t.Errorf("lane %s had %d questions, %d at once", name, l.calls, l.deepest)
		}
	}
}

// TestFailingLaneRests shows that a question goes on through another lane, and
// that a lane that fails is left alone for a while.
func TestFailingLaneRests(t *testing.T) {
	lanes := map[string]*fakeLane{"own": {took: time.Millisecond}, "a": {fails: true}, "b": {took: time.Millisecond}}
	p := pool(lanes)
	for range 20 {
		if _, err := p.Ask(context.Background(), question(false)); err != nil {
			t.Fatal(err)
		}
	}
	if n := lanes["a"].calls; n != 1 {
		t.Errorf("the failing lane was asked %d times within its rest", n)
	}
}

// TestAllLanesFail shows that the number of attempts is bounded.
func TestAllLanesFail(t *testing.T) {
	lanes := map[string]*fakeLane{"own": {fails: true}, "a": {fails: true}, "b": {fails: true}, "c": {fails: true}}
	p := pool(lanes)
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	if _, err := p.Ask(ctx, question(true)); err == nil {
		t.Fatal("a question was answered by nobody")
	}
	calls := 0
	for _, l := range lanes {
		calls += l.calls
	}
	if calls > maxAttempts {
		t.Errorf("%d attempts, at most %d may be made", calls, maxAttempts)
	}
}

// TestAloneUsesTheOwnLane shows that long questions go through the own lane if
// there is no other.
func TestAloneUsesTheOwnLane(t *testing.T) {
	lanes := map[string]*fakeLane{"own": {took: time.Millisecond}}
	if failed := askAll(t, pool(lanes), 3, false); failed > 0 {
		t.Errorf("%d questions failed", failed)
	}
}

// TestWithdrawnQuestionFreesItsLane shows that a question that was given up
// while it waited keeps no lane.
func TestWithdrawnQuestionFreesItsLane(t *testing.T) {
	lanes := map[string]*fakeLane{"own": {took: time.Millisecond}, "a": {took: 100 * time.Millisecond}}
	p := pool(lanes)
	var group sync.WaitGroup
	for range 8 {
		group.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), 30*time.Millisecond)
			defer cancel()
			_, _ = p.Ask(ctx, question(false))
		})
	}
	group.Wait()
	time.Sleep(laneRest + 50*time.Millisecond)
	if failed := askAll(t, p, 2, false); failed > 0 {
		t.Errorf("%d questions failed afterwards", failed)
	}
}

func TestGroupedLaneGoesFirst(t *testing.T) {
	single, grouped := &fakeLane{took: time.Millisecond}, &fakeLane{took: time.Millisecond}
	p := pool(nil)
	p.SetInstances([]Instance{{Name: "a", Asker: single}, {Name: "b", Asker: grouped, Batched: func() bool { return true }}})
	for range 5 {
		if _, err := p.Ask(context.Background(), question(true)); err != nil {
			t.Fatal(err)
		}
	}
	if single.calls != 0 || grouped.calls != 5 {
		t.Errorf("%d questions alone, %d in groups", single.calls, grouped.calls)
	}
}
