package intake

import (
	"context"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestManyCustomersLeaveRoom plays the load of a crowd with many good keys, each of which
// takes all that it may, again whenever one of its requests has ended: there is room left
// for another customer, of connections at work and of the budget.
func TestManyCustomersLeaveRoom(t *testing.T) {
	const connections, part = 16, 256
	l, b := NewLedger(Limits{Bytes: 1 << 20, Connections: connections, ShareWork: true}), NewBudget(connections*part)
	for name, take := range map[string]func(customer string) func(){
		"connections": func(customer string) func() {
			if l.full() {
				return nil
			}
			e := l.add("balancer", 1)
			l.admit(e, customer)
			if !l.work(e) {
				l.remove(e)
				return nil
			}
			return func() { l.remove(e) }
		},
		"budget": func(customer string) func() {
			ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
			defer cancel()
			free, err := b.Acquire(ctx, customer, part)
			if err != nil {
				return nil
			}
			return func() { free(0) }
		},
	} {
		t.Run(name, func(t *testing.T) {
			var ends []func()
			takeAll := func() {
				for _, customer := range []string{"a", "b", "c", "d"} {
					for end := take(customer); end != nil; end = take(customer) {
						ends = append(ends, end)
					}
				}
			}
			for range 6 * connections {
				takeAll()
				ends[0]()
				ends = ends[1:]
			}
			takeAll()
			if take("other") == nil {
				t.Error("there is no room for another customer")
			}
		})
	}
}

// TestBudgetKeepsItsBounds draws what requests take and free. What is granted stays within
// the budget and within each customer's share of what was left, and what waits is granted
// once it fits.
func TestBudgetKeepsItsBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const bytes = 1000
		b := NewBudget(bytes)
		var frees []func(int64)
		ended, cancel := context.WithCancel(context.Background())
		cancel()
		t.Repeat(map[string]func(*rapid.T){
			"acquire": func(t *rapid.T) {
				customer, n := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "customer"), rapid.Int64Range(1, 600).Draw(t, "bytes")
				before := b.used
				free, err := b.Acquire(ended, customer, n)
				if err != nil {
					return
				}
				if taken := b.used - before; taken != min(n, bytes/2) || b.shares[customer] > bytes-b.used {
					t.Fatalf("%d bytes are granted for %d, %q has %d of %d", taken, n, customer, b.shares[customer], b.used)
				}
				frees = append(frees, free)
			},
			"free": func(t *rapid.T) {
				if len(frees) == 0 {
					return
				}
				i := rapid.IntRange(0, len(frees)-1).Draw(t, "request")
				frees[i](rapid.Int64Range(0, 50).Draw(t, "keep"))
				frees[i](0)
				frees[i](0)
				frees = append(frees[:i], frees[i+1:]...)
			},
			"": func(t *rapid.T) {
				var sum int64
				for _, n := range b.shares {
					sum += n
				}
				if sum != b.used || b.used > bytes || len(frees) == 0 && len(b.shares) > 0 {
					t.Fatalf("%d bytes are in use, the shares are %v", b.used, b.shares)
				}
			},
		})
	})
}

// TestBudgetWakesWhoWaits frees room while two requests wait: the smaller one does not wait
// for the larger one to fit.
func TestBudgetWakesWhoWaits(t *testing.T) {
	const hang = 30 * time.Second
	b := NewBudget(1000)
	free, err := b.Acquire(context.Background(), "a", 500)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), hang)
	defer cancel()
	granted := make(chan int64, 2)
	for _, n := range []int64{260, 200} {
		go func() {
			if _, err := b.Acquire(ctx, "b", n); err != nil {
				n = 0
			}
			granted <- n
		}()
	}
	if first := <-granted; first != 200 {
		t.Errorf("%d bytes are granted first", first)
	}
	free(0)
	if second := <-granted; second != 260 {
		t.Errorf("%d bytes are granted next", second)
	}
}
