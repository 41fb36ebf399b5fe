package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"syscall"
	"time"
)

// caseStorm kills, freezes and restarts daemons at random while jobs come, are cancelled
// and are done, and judges TWICE, ORDER, UNASKED and LOST. It is not one of the cases: it
// was played to look for some.
func caseStorm(s *site) error {
	var runners []runnerOf
	for range 10 {
		runners = append(runners, runnerOf{kind: "a", cpu: 8000})
	}
	if err := s.begin(4, runners...); err != nil {
		return err
	}
	stop := make(chan struct{})
	calm := make(chan struct{})
	go func() {
		defer close(calm)
		for s.trouble {
			select {
			case <-stop:
				return
			case <-time.After(time.Duration(300+rand.IntN(1500)) * time.Millisecond):
			}
			d := s.daemons[rand.IntN(len(s.daemons))]
			switch rand.IntN(3) {
			case 0:
				s.rec.line("SIGKILL %s", d.name)
				d.end(syscall.SIGKILL)
				_ = d.start()
			case 1:
				s.rec.line("SIGSTOP %s", d.name)
				_ = d.cmd.Process.Signal(syscall.SIGSTOP)
				time.Sleep(time.Duration(300+rand.IntN(4000)) * time.Millisecond)
				_ = d.cmd.Process.Signal(syscall.SIGCONT)
				s.rec.line("SIGCONT %s", d.name)
			case 2:
				r := s.runners[rand.IntN(len(s.runners))]
				r.crash()
				time.Sleep(time.Duration(20+rand.IntN(1500)) * time.Millisecond)
				_ = r.start()
			}
		}
	}()
	accepted := make(chan *job, 2000)
	cancelled := make(map[string]time.Time)
	n := 0
	var jobs []*job
	for end := time.Now().Add(50 * time.Second); time.Now().Before(end); n++ {
		j := &job{id: jobID(n), queue: []string{"route-plan", "lot-sort", "invoice-post"}[n%3], key: "key-kaje80", spec: spec{MS: 100 + rand.IntN(900), CPU: 1000},
			steps: []map[string]any{tasks(1+rand.IntN(4), 1000, 500, nil), tasks(1+rand.IntN(3), 1000, 500, map[string]any{"after": []int{0}})}}
		if n%5 == 0 {
			j.times, j.delay, j.interval = 3, time.Now().Add(time.Second).UnixMilli(), 1500
		}
		if n%31 == 7 {
			j = lasting(n, "lot-sort", "key-oru31", 2, 1000)
		}
		go func() {
			c := newClient(s)
			c.next = rand.IntN(4)
			if c.submit(j) == nil {
				accepted <- j
			}
		}()
		time.Sleep(60 * time.Millisecond)
	drain:
		for {
			select {
			case j := <-accepted:
				jobs = append(jobs, j)
				if rand.IntN(10) == 0 || j.spec.MS == 0 {
					if status, _, err := s.client.call(rand.IntN(4), http.MethodDelete, j.path(), j.key, nil); err == nil && status == 200 {
						cancelled[j.id] = time.Now()
						s.rec.line("DELETE %s answered 200", j.path())
					}
				}
			default:
				break drain
			}
		}
	}
	close(stop)
	<-calm
	s.rec.line("calm")
	time.Sleep(14 * time.Second)
	left := 0
	for _, j := range jobs {
		if at, c := cancelled[j.id]; c || j.spec.MS == 0 {
			if c && time.Since(at) > 10*time.Second && s.runsOf(j.id) > 0 {
				s.breaks("UNASKED: job %s runs on, cancelled %s ago", j.id, time.Since(at))
			}
			continue
		}
		if state := s.client.status(j); state != "completed" {
			left++
			if !s.client.await(j, 4*time.Second) {
				s.breaks("LOST: job %s is %s", j.id, j.state)
			}
		}
	}
	s.rec.line("%d jobs accepted, %d cancelled, %d were late", len(jobs), len(cancelled), left)
	s.mu.Lock()
	defer s.mu.Unlock()
	for task, events := range s.history {
		running, done, acked := 0, false, false
		for _, e := range events {
			switch e.what {
			case "start":
				if running > 0 || acked {
					s.broken = append(s.broken, fmt.Sprintf("TWICE: %s: %v", task, events))
				}
				if at, c := cancelled[jobOf(task)]; c && e.at.Sub(at) > 3*time.Second {
					s.broken = append(s.broken, fmt.Sprintf("UNASKED: %s", task))
				}
				var k, step, index int
				_, _ = fmt.Sscanf(task[17:], "%d.%d.%d", &k, &step, &index)
				j := s.jobs[jobOf(task)]
				if j.times > 0 && e.at.UnixMilli() < j.delay+int64(k)*j.interval-250 {
					s.broken = append(s.broken, fmt.Sprintf("ORDER: %s starts %d ms early", task, j.delay+int64(k)*j.interval-e.at.UnixMilli()))
				}
				if step == 1 {
					for i := range j.steps[0]["count"].(int) {
						ok := false
						for _, b := range s.history[fmt.Sprintf("%s.%d.0.%d", j.id, k, i)] {
							ok = ok || b.what == "done" && b.at.Before(e.at)
						}
						if !ok {
							s.broken = append(s.broken, fmt.Sprintf("ORDER: %s starts before step 0 is done", task))
						}
					}
				}
				if k > 0 && k >= j.times {
					s.broken = append(s.broken, fmt.Sprintf("UNASKED: %s has %d occurrences", task, j.times))
				}
				running++
			case "acknowledged done":
				acked = true
			case "done", "failed", "stopped", "lapsed", "lost":
				running--
				done = done || e.what == "done"
			}
		}
	}
	return nil
}
