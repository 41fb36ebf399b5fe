package eligibility

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/controller"
	"github.com/pkg/errors"
)

// fakeInstance is an Asker that counts its calls and those in flight.
type fakeInstance struct {
	mu           sync.Mutex
	inFlight     int
	maxInFlight  int
	calls        int
	fails        bool
	responseTime time.Duration
}

func (inst *fakeInstance) Ask(ctx context.Context, _ string, _ []string) (controller.EligibilityAnswer, error) {
	inst.mu.Lock()
	inst.inFlight++
	inst.calls++
	inst.maxInFlight = max(inst.maxInFlight, inst.inFlight)
	inst.mu.Unlock()
	defer func() {
		inst.mu.Lock()
		inst.inFlight--
		inst.mu.Unlock()
	}()
	if inst.fails {
		return controller.EligibilityAnswer{}, errors.New("call refused")
	}
	select {
	case <-time.After(inst.responseTime):
		return controller.EligibilityAnswer{Permits: map[string]string{"e": "t"}}, nil
	case <-ctx.Done():
		return controller.EligibilityAnswer{}, ctx.Err()
	}
}

func newTestPool(instances map[string]*fakeInstance) *Pool {
	origin := time.Now()
	p := NewPool(func() time.Duration { return time.Since(origin) + time.Hour })
	var list []Instance
	for name, inst := range instances {
		list = append(list, Instance{Name: name, Asker: inst, Local: name == "local"})
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

// TestNormalQuestionsUseOneInstanceEach checks that at most one normal
// question is in flight per instance and that the local instance takes none.
func TestNormalQuestionsUseOneInstanceEach(t *testing.T) {
	instances := map[string]*fakeInstance{"local": {responseTime: 20 * time.Millisecond}, "a": {responseTime: 20 * time.Millisecond}, "b": {responseTime: 20 * time.Millisecond}}
	if failed := askAll(t, newTestPool(instances), 12, false); failed > 0 {
		t.Errorf("%d questions failed", failed)
	}
	if instances["local"].calls > 0 {
		t.Errorf("%d normal questions were asked through the local instance", instances["local"].calls)
	}
	for name, inst := range instances {
		if inst.maxInFlight > 1 {
			t.Errorf("%d normal questions in flight on instance %s", inst.maxInFlight, name)
		}
		if name != "local" && inst.calls == 0 {
			t.Errorf("instance %s is not used", name)
		}
	}
}

// TestUrgentQuestionsShareInstances checks the limit on urgent questions in
// flight per instance.
func TestUrgentQuestionsShareInstances(t *testing.T) {
	instances := map[string]*fakeInstance{"local": {responseTime: 10 * time.Millisecond}, "a": {responseTime: 10 * time.Millisecond}}
	if failed := askAll(t, newTestPool(instances), 40, true); failed > 0 {
		t.Errorf("%d questions failed", failed)
	}
	for name, inst := range instances {
		if inst.maxInFlight > maxUrgentPerInstance || inst.calls == 0 {
			t.Errorf("instance %s had %d questions, at most %d in flight", name, inst.calls, inst.maxInFlight)
		}
	}
}

// TestFailingInstanceBacksOff checks that a failed question is asked through
// another instance and that a failing instance is not used during its backoff.
func TestFailingInstanceBacksOff(t *testing.T) {
	instances := map[string]*fakeInstance{"local": {responseTime: time.Millisecond}, "a": {fails: true}, "b": {responseTime: time.Millisecond}}
	p := newTestPool(instances)
	for range 20 {
		if _, err := p.Ask(context.Background(), question(false)); err != nil {
			t.Fatal(err)
		}
	}
	if n := instances["a"].calls; n != 1 {
		t.Errorf("the failing instance was asked %d times within failureBackoff, want once", n)
	}
}

// TestAllInstancesFail checks that the number of attempts is bounded.
func TestAllInstancesFail(t *testing.T) {
	instances := map[string]*fakeInstance{"local": {fails: true}, "a": {fails: true}, "b": {fails: true}, "c": {fails: true}}
	p := newTestPool(instances)
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	if _, err := p.Ask(ctx, question(true)); err == nil {
		t.Fatal("a question succeeded although all instances fail")
	}
	calls := 0
	for _, inst := range instances {
		calls += inst.calls
	}
	if calls > maxAttempts {
		t.Errorf("%d attempts, want at most %d", calls, maxAttempts)
	}
}

// TestOnlyLocalInstanceTakesNormalQuestions checks that normal
// questions use the local instance if there is no other.
func TestOnlyLocalInstanceTakesNormalQuestions(t *testing.T) {
	instances := map[string]*fakeInstance{"local": {responseTime: time.Millisecond}}
	if failed := askAll(t, newTestPool(instances), 3, false); failed > 0 {
		t.Errorf("%d questions failed", failed)
	}
}

// TestCancelledQuestionReleasesItsInstance checks that a question that is
// cancelled while it waits does not keep an instance reserved.
func TestCancelledQuestionReleasesItsInstance(t *testing.T) {
	instances := map[string]*fakeInstance{"local": {responseTime: time.Millisecond}, "a": {responseTime: 100 * time.Millisecond}}
	p := newTestPool(instances)
	var group sync.WaitGroup
	for range 8 {
		group.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), 30*time.Millisecond)
			defer cancel()
			_, _ = p.Ask(ctx, question(false))
		})
	}
	group.Wait()
	time.Sleep(failureBackoff + 50*time.Millisecond)
	if failed := askAll(t, p, 2, false); failed > 0 {
		t.Errorf("%d questions failed afterwards", failed)
	}
}

func TestBatchedInstanceIsPreferred(t *testing.T) {
	unbatched, batched := &fakeInstance{responseTime: time.Millisecond}, &fakeInstance{responseTime: time.Millisecond}
	p := newTestPool(nil)
	p.SetInstances([]Instance{{Name: "a", Asker: unbatched}, {Name: "b", Asker: batched, Batched: func() bool { return true }}})
	for range 5 {
		if _, err := p.Ask(context.Background(), question(true)); err != nil {
			t.Fatal(err)
		}
	}
	if unbatched.calls != 0 || batched.calls != 5 {
		t.Errorf("%d unbatched questions, %d batched; want 0 and 5", unbatched.calls, batched.calls)
	}
}

// deadInstance is an Asker on a machine that is gone: no call is answered.
type deadInstance struct{}

func (deadInstance) Ask(ctx context.Context, _ string, _ []string) (controller.EligibilityAnswer, error) {
	<-ctx.Done()
	return controller.EligibilityAnswer{}, ctx.Err()
}

// TestQuestionsAmongDeadInstances guards against jobs that never start because
// their questions go to one dead instance after the other: of 42 instances, the
// 40 that sort first are on machines that are gone.
func TestQuestionsAmongDeadInstances(t *testing.T) {
	for name, urgent := range map[string]bool{"normal": false, "urgent": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newTestPool(nil)
				list := []Instance{
					{Name: "x-local", Asker: &fakeInstance{responseTime: 20 * time.Millisecond}, Local: true},
					{Name: "y-remote", Asker: &fakeInstance{responseTime: 20 * time.Millisecond}},
				}
				for i := range 40 {
					list = append(list, Instance{Name: fmt.Sprintf("dead-%02d", i), Asker: deadInstance{}})
				}
				p.SetInstances(list)
				// A job may have nothing running for 3 s while there is room for it.
				const bound = 3 * time.Second
				var group sync.WaitGroup
				for range 60 {
					group.Go(func() {
						began := time.Now()
						ctx, cancel := context.WithTimeout(t.Context(), bound)
						defer cancel()
						for {
							_, err := p.Ask(ctx, question(urgent))
							if err == nil {
								return
							}
							if ctx.Err() != nil {
								t.Errorf("a question was not answered within %s: %v", time.Since(began), err)
								return
							}
							time.Sleep(100 * time.Millisecond)
						}
					})
					time.Sleep(250 * time.Millisecond)
				}
				group.Wait()
			})
		})
	}
}

// TestFailedInstanceIsUsedAgain checks that an instance that has failed often
// takes questions again once it answers.
func TestFailedInstanceIsUsedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		remote := &fakeInstance{fails: true}
		p := newTestPool(nil)
		p.SetInstances([]Instance{
			{Name: "local", Asker: &fakeInstance{responseTime: 20 * time.Millisecond}, Local: true},
			{Name: "remote", Asker: remote},
		})
		for range 60 {
			if _, err := p.Ask(t.Context(), question(false)); err != nil {
				t.Fatal(err)
			}
			time.Sleep(time.Second)
		}
		if remote.calls > 10 {
			t.Errorf("a failing instance was asked %d times in a minute", remote.calls)
		}
		remote.fails, remote.calls = false, 0
		for range 20 {
			if _, err := p.Ask(t.Context(), question(false)); err != nil {
				t.Fatal(err)
			}
			time.Sleep(time.Second)
		}
		if remote.calls == 0 {
			t.Error("an instance that answers again is not used")
		}
	})
}
