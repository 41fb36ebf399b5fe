package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// invoice returns a job of the urgent queue: one or two short tasks.
func invoice(count, fails int) *job {
	return &job{queue: "/invoice-post/", key: "key-ocho", tenant: "ocho",
		Steps: []step{{Count: count, CPU: 2800, Mem: 5700, Estimate: 1000, work: time.Second, failsFirst: fails}}}
}

// lots returns a job of the queue that comes last.
func lots(count int) *job {
	return &job{queue: "/lot-sort/", key: "key-negril", tenant: "negril",
		Steps: []step{{Count: count, CPU: 2000, Mem: 5600, Estimate: 2000, work: 2 * time.Second}}}
}

// every calls f n times, evenly over d.
func every(d time.Duration, n int, f func(i int)) {
	began := time.Now()
	for i := range n {
		time.Sleep(time.Until(began.Add(d * time.Duration(i) / time.Duration(n))))
		f(i)
	}
}

// hopeless: three times 3.5 s in which 7 of 104 jobs of a queue can never be done, as
// they require a label that no runner has. Afterwards one job in forty has a task
// that fails once, as tasks do.
func hopeless(rec *recorder, trouble bool) (*site, func() int, error) {
	s, err := newSite(rec, trouble, 3, 3)
	return s, func() int {
		for range 3 {
			every(3500*time.Millisecond, 104, func(i int) {
				if i%15 != 6 || !trouble {
					s.send(invoice(1+i%2, 0))
					return
				}
				j := &job{queue: "/invoice-post/", key: "key-ocho", tenant: "ocho", Times: 6, First: time.Now().UnixMilli() + 500, Interval: 2000}
				for range 3 {
					j.Steps = append(j.Steps, step{Count: 2, CPU: 2800, Mem: 5700, Estimate: 1000, Requires: "c", work: time.Second})
				}
				s.send(j)
			})
			time.Sleep(2 * time.Second)
		}
		time.Sleep(9 * time.Second)
		every(20*time.Second, 400, func(i int) {
			fails := 0
			if i%40 == 7 {
				fails = 1
			}
			s.send(invoice(1+i%2, fails))
		})
		return s.verdict()
	}, err
}

// gang: while a job that lasts takes three eighths of each runner, one of 13 jobs of
// a queue is a gang that can never be placed beside it.
func gang(rec *recorder, trouble bool) (*site, func() int, error) {
	s, err := newSite(rec, trouble, 3, 3)
	plan := func() *job {
		return &job{queue: "/route-plan/", key: "key-negril", tenant: "negril",
			Steps: []step{{Count: 2, CPU: 9000, Mem: 19000, Estimate: 1500, work: 1500 * time.Millisecond}}}
	}
	return s, func() int {
		s.send(&job{queue: "/route-plan/", key: "key-ocho", tenant: "ocho",
			Steps: []step{{Count: 24, CPU: 12000, Mem: 19000, Estimate: 6200, LongRunning: true, Apart: 1}}})
		time.Sleep(3 * time.Second)
		every(16*time.Second, 48, func(i int) { s.send(lots(1 + i%3)) })
		every(2400*time.Millisecond, 13, func(i int) {
			j := plan()
			if i == 6 && trouble {
				j.Steps = []step{{Count: 24, CPU: 24000, Mem: 19000, Estimate: 16000, Gang: true, work: 16 * time.Second}}
			}
			s.send(j)
		})
		every(5*time.Second, 15, func(i int) { s.send(lots(1 + i%3)) })
		return s.verdict()
	}, err
}

// rack: one runner of each rack is lost for good, so that no rack holds the gang.
func rack(rec *recorder, trouble bool) (*site, func() int, error) {
	s, err := newSite(rec, trouble, 3, 3)
	return s, func() int {
		every(10*time.Second, 20, func(i int) {
			if i == 4 && trouble {
				for _, at := range []int{3, 11, 19} {
					s.rec.line("runner %s is lost for good", s.fleet.runners[at].id)
					s.fleet.lose(s.fleet.runners[at])
				}
			}
			s.send(invoice(1, 0))
		})
		time.Sleep(5 * time.Second)
		s.send(&job{queue: "/route-plan/", key: "key-ocho", tenant: "ocho",
			Steps: []step{{Count: 8, CPU: 20000, Mem: 19000, Estimate: 24000, Gang: true, SameRack: true, work: 12 * time.Second}}})
		return s.verdict()
	}, err
}

// waiting: the two runners of a kind lose power for good while ten jobs that need the
// kind arrive. None of them begins, so that the number of waiting jobs has to be ten.
func waiting(rec *recorder, trouble bool) (*site, func() int, error) {
	s, err := newSite(rec, trouble, 3, 3)
	return s, func() int {
		every(6*time.Second, 24, func(i int) { s.send(lots(1 + i%3)) })
		s.ended.Wait()
		time.Sleep(5 * time.Second)
		if trouble {
			s.fleet.darken(s.fleet.runners[22], s.fleet.runners[23])
		}
		every(100*time.Millisecond, 10, func(int) {
			j := lots(1)
			j.Steps[0].Requires = "b"
			s.send(j)
		})
		s.ended.Wait()
		broken := 0
		for end := time.Now().Add(25 * time.Second); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
			for _, d := range s.daemons {
				real := s.notBegun(time.Now().Add(-visible - 2*time.Second))
				status, body := s.client.call(http.MethodGet, d.front, "/lot-sort/", "key-negril", nil)
				var answer struct{ Waiting *int }
				if status != http.StatusOK || json.Unmarshal(body, &answer) != nil || answer.Waiting == nil {
					rec.line("%s: GET /lot-sort/: %d", d.name, status)
					continue
				}
				rec.line("%s: GET /lot-sort/: waiting %d; accepted 5 s before and not begun: %d", d.name, *answer.Waiting, real)
				if 2**answer.Waiting < real {
					broken++
					rec.line("MIXED: %s gives %d as waiting, %d jobs have not begun", d.name, *answer.Waiting, real)
				}
			}
		}
		fmt.Printf("answers that give under half of the jobs that have not begun: %d\n", broken)
		return min(broken, 1)
	}, err
}

// notBegun returns how many jobs without times were accepted before a time and have
// not begun.
func (s *site) notBegun(before time.Time) int {
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	n := 0
	for _, j := range s.fleet.jobs {
		if j.accepted && j.acceptedAt.Before(before) && j.Times == 0 && !j.begun {
			n++
		}
	}
	return n
}

// urgent: on four runners of 64 cores, four urgent jobs of one wide task come at once.
// When they have ended, a job of two tasks of half a runner comes.
func urgent(rec *recorder, trouble bool) (*site, func() int, error) {
	s, err := newSiteOf(rec, trouble, 4, 64000, 3)
	return s, func() int {
		if trouble {
			for range 4 {
				s.send(&job{queue: "/invoice-post/", key: "key-ocho", tenant: "ocho",
					Steps: []step{{Count: 1, CPU: 36000, Mem: 19000, Estimate: 2000, work: 2 * time.Second}}})
			}
		}
		time.Sleep(6 * time.Second)
		s.send(&job{queue: "/lot-sort/", key: "key-negril", tenant: "negril",
			Steps: []step{{Count: 2, CPU: 32000, Mem: 19000, Estimate: 2000, work: 2 * time.Second}}})
		return s.verdict()
	}, err
}

// setback: a runner is added whose machine's time of day is 2 s ahead. It crashes a
// second after its start, and is back 0.4 s later, when the time of day is right again.
func setback(rec *recorder, trouble bool) (*site, func() int, error) {
	s, err := newSite(rec, trouble, 3, 3)
	return s, func() int {
		every(3*time.Second, 12, func(i int) { s.send(lots(1 + i%3)) })
		s.ended.Wait()
		ahead := time.Duration(0)
		if trouble {
			ahead = 2 * time.Second
		}
		if err := s.fleet.add("i-1f00", "a", "r-2", 32000, 131072, ahead); err != nil {
			rec.line("no runner was added: %v", err)
			return 2
		}
		time.Sleep(700 * time.Millisecond)
		s.send(&job{queue: "/lot-sort/", key: "key-negril", tenant: "negril",
			Steps: []step{{Count: 25, CPU: 2000, Mem: 4000, Estimate: 2000, Apart: 1, work: 2 * time.Second}}})
		time.Sleep(300 * time.Millisecond)
		if trouble {
			s.fleet.crash(s.fleet.runners[24], 400*time.Millisecond)
		}
		return s.verdict()
	}, err
}

// schedule: a job with 400 times, whose second step requires a label that no runner
// has. Its first step can run each time.
func schedule(rec *recorder, trouble bool) (*site, func() int, error) {
	s, err := newSite(rec, trouble, 3, 3)
	return s, func() int {
		j := &job{queue: "/lot-sort/", key: "key-negril", tenant: "negril", Times: 400, First: time.Now().UnixMilli(), Interval: 50}
		j.Steps = []step{{Count: 1, CPU: 500, Mem: 100, Estimate: 100, work: 100 * time.Millisecond}, {Count: 1, CPU: 500, Mem: 100, Estimate: 100, After: []int{0}, work: 100 * time.Millisecond}}
		if trouble {
			j.Steps[1].Requires = "c"
		}
		s.send(j)
		time.Sleep(20 * time.Second)
		return s.verdict()
	}, err
}
