package main

import (
	"fmt"
	"os"
	"time"
)

// tasks is a step of tasks of a size.
func tasks(count int, cpu, estimate int64, more map[string]any) map[string]any {
	step := map[string]any{"count": count, "cpu": cpu, "mem_mb": 64, "estimate_ms": estimate}
	for name, value := range more {
		step[name] = value
	}
	return step
}

func jobID(n int) string { return fmt.Sprintf("5c0e7a21d94b%04x", n) }

// caseKind: a runner crashes now and then, and starts again under its id, as another
// kind. Work for the kind that it had waits meanwhile.
func caseKind(s *site) error {
	runners := []runnerOf{{kind: "a", cpu: 8000}, {kind: "a", cpu: 8000}}
	for range 28 {
		runners = append(runners, runnerOf{kind: "b", cpu: 8000})
	}
	if err := s.begin(2, runners...); err != nil {
		return err
	}
	r := s.runners[0]
	stop := make(chan struct{})
	defer close(stop)
	if s.trouble {
		go func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(4 * time.Second):
				}
				r.crash()
				time.Sleep(1500 * time.Millisecond)
				r.mu.Lock()
				if r.kind == "a" {
					r.kind = "b"
				} else {
					r.kind = "a"
				}
				r.mu.Unlock()
				_ = r.start()
			}
		}()
	}
	// Each job takes a third of a second of the room of one runner of kind a.
	n := 0
	for end := time.Now().Add(65 * time.Second); time.Now().Before(end); n++ {
		j := &job{id: jobID(n), queue: "lot-sort", key: "key-kaje80", spec: spec{MS: 700, Kind: "a", CPU: 2000},
			steps: []map[string]any{tasks(2, 2000, 700, map[string]any{"requires": "a"})}}
		if err := s.client.submit(j); err != nil {
			return err
		}
		time.Sleep(200 * time.Millisecond)
	}
	return nil
}

// watchLasting checks the rule on tasks that last: from 6 s after its last run, a task isn't
// at work for 3 s on end although the runners have room for it twice over. It looks for the
// given time and says at the end whether the tasks run.
func (s *site) watchLasting(j *job, want int, cpu int64, since time.Time, most time.Duration) {
	var missing time.Time
	broken := false
	for time.Since(since) < most {
		time.Sleep(50 * time.Millisecond)
		room := int64(0)
		for _, r := range s.runners {
			r.mu.Lock()
			if r.up {
				room += (r.cpu - r.used()) / cpu
			}
			r.mu.Unlock()
		}
		running := s.runsOf(j.id)
		if time.Since(since) < 6*time.Second || running >= want || room < 2 {
			missing = time.Time{}
			continue
		}
		if missing.IsZero() {
			missing = time.Now()
			s.rec.line("%d of the %d tasks of job %s run, the runners have room for %d more of its size", running, want, j.id, room)
		}
		if time.Since(missing) >= 3*time.Second && !broken {
			broken = true
			s.breaks("LOST: %d of the %d tasks of job %s have run for 3 s, %s after the last run of the others; the runners have room for %d more", running, want, j.id,
				time.Since(since).Round(100*time.Millisecond), room)
		}
	}
	s.rec.line("%s after it %d of the %d tasks of job %s run; the job is shown as %s", time.Since(since).Round(time.Second), s.runsOf(j.id), want, j.id, s.client.status(j))
}

// lasting is a job of tasks that last.
func lasting(n int, queue, key string, count int, cpu int64) *job {
	return &job{id: jobID(n), queue: queue, key: key, spec: spec{CPU: cpu},
		steps: []map[string]any{tasks(count, cpu, 1000, map[string]any{"long_running": true})}}
}

// caseClock: a runner that was just added crashes and starts again, while the time of day of
// its machine steps back.
func caseClock(s *site) error {
	var runners []runnerOf
	for range 7 {
		runners = append(runners, runnerOf{kind: "a", cpu: 8000})
	}
	if err := s.begin(2, runners...); err != nil {
		return err
	}
	// 28 tasks fill the seven runners, two wait for the one that is added.
	j := lasting(1, "invoice-post", "key-kaje80", 30, 2000)
	if err := s.client.submit(j); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	if n := s.runsOf(j.id); n != 28 {
		return fmt.Errorf("%d tasks run on seven runners, want 28", n)
	}
	r := &runner{id: "i-3f70", zone: "kingston-a", service: service, kind: "a", rack: "r1-0", cpu: 8000, mem: 131072, site: s}
	// STEP=0 leaves the crash and takes the step of the clock out.
	if s.trouble && os.Getenv("STEP") != "0" {
		s.rec.line("the time of day of the machine of %s is 2 s ahead for 1 s", r.id)
		r.wallOff = 2 * time.Second
	}
	added := time.Now()
	if err := r.start(); err != nil {
		return err
	}
	s.runners = append(s.runners, r)
	time.Sleep(900 * time.Millisecond)
	if n := s.runsOf(j.id); n != 30 {
		return fmt.Errorf("%d tasks run on eight runners, want 30", n)
	}
	since := time.Now()
	if s.trouble {
		r.crash()
		time.Sleep(100 * time.Millisecond)
		s.rec.line("the time of day of the machine of %s is right again", r.id)
		r.wallOff = 0
		time.Sleep(600*time.Millisecond - time.Since(since))
		if err := r.start(); err != nil {
			return err
		}
		s.rec.line("%s after it was added, %s is back", time.Since(added).Round(time.Millisecond), r.id)
	}
	s.watchLasting(j, 30, 2000, since, 15*time.Second)
	// Work that comes now is placed on it as well.
	later := &job{id: jobID(2), queue: "invoice-post", key: "key-oru31", spec: spec{MS: 800, CPU: 2000}, steps: []map[string]any{tasks(2, 2000, 800, nil)}}
	if err := s.client.submit(later); err != nil {
		return err
	}
	completed := s.client.await(later, 14*time.Second)
	s.rec.line("a job of two tasks of 0.8 s is completed after 14 s: %v; %d of its tasks run", completed, s.runsOf(later.id))
	return nil
}

// caseLasting: a task that lasts fails while urgent work uses two thirds of the service.
func caseLasting(s *site) error {
	var runners []runnerOf
	for range 8 {
		runners = append(runners, runnerOf{kind: "a", cpu: 10000})
	}
	if err := s.begin(2, runners...); err != nil {
		return err
	}
	last := lasting(1, "lot-sort", "key-kaje80", 1, 1000)
	if err := s.client.submit(last); err != nil {
		return err
	}
	urgent := lasting(2, "invoice-post", "key-oru31", 50, 1000)
	if err := s.client.submit(urgent); err != nil {
		return err
	}
	n := 10
	short := func(until time.Time) error {
		for ; time.Now().Before(until); n++ {
			j := &job{id: jobID(n), queue: "invoice-post", key: "key-oru31", spec: spec{MS: 400, CPU: 1000}, steps: []map[string]any{tasks(2, 1000, 400, nil)}}
			if err := s.client.submit(j); err != nil {
				return err
			}
			time.Sleep(100 * time.Millisecond)
		}
		return nil
	}
	if err := short(time.Now().Add(30 * time.Second)); err != nil {
		return err
	}
	if s.runsOf(last.id) != 1 || s.runsOf(urgent.id) != 50 {
		return fmt.Errorf("not all that lasts runs before the failure: %d and %d", s.runsOf(last.id), s.runsOf(urgent.id))
	}
	since := time.Now()
	if s.trouble {
		for _, r := range s.runners {
			r.mu.Lock()
			for _, x := range r.running {
				x.fail = x.fail || jobOf(x.task) == last.id
			}
			r.mu.Unlock()
		}
	}
	traffic := make(chan error, 1)
	go func() { traffic <- short(since.Add(38 * time.Second)) }()
	s.watchLasting(last, 1, 1000, since, 40*time.Second)
	return <-traffic
}

// caseRemoved: the operator removes the route of a job that was accepted.
func caseRemoved(s *site) error {
	if err := s.begin(2, runnerOf{kind: "a", cpu: 8000}, runnerOf{kind: "a", cpu: 8000}, runnerOf{kind: "a", cpu: 8000}, runnerOf{kind: "a", cpu: 8000}); err != nil {
		return err
	}
	j := &job{id: jobID(1), queue: "lot-sort", key: "key-kaje80", spec: spec{MS: 2000, CPU: 2000},
		steps: []map[string]any{tasks(2, 2000, 2000, nil), tasks(2, 2000, 2000, map[string]any{"after": []int{0}})}}
	if err := s.client.submit(j); err != nil {
		return err
	}
	time.Sleep(time.Second)
	if s.trouble {
		s.store.put(topicOperator, "config", configuration("lot-sort"))
		s.rec.line("the operator's configuration of version 9, without the route of lot-sort, is acknowledged")
	}
	// finish_s is 14; for 3 s then nothing runs, with all runners empty.
	time.Sleep(14 * time.Second)
	done := 0
	s.mu.Lock()
	for task, events := range s.history {
		for _, e := range events {
			if jobOf(task) == j.id && e.what == "done" {
				done++
			}
		}
	}
	s.mu.Unlock()
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end) && done < 4; time.Sleep(50 * time.Millisecond) {
		if s.runsOf(j.id) > 0 {
			return nil
		}
	}
	status := s.client.status(j)
	s.rec.line("GET of the job: %s", status)
	if done < 4 {
		s.breaks("LOST: job %s, accepted %s ago, has had nothing running for 3 s; %d of its 4 tasks have ended done, all runners are empty, its state is: %s", j.id,
			time.Since(j.accepted).Round(time.Second), done, status)
	}
	return nil
}

// caseLarge: a large job comes while urgent work uses a little under half of the service;
// small jobs come after it.
func caseLarge(s *site) error {
	var runners []runnerOf
	for range 8 {
		runners = append(runners, runnerOf{kind: "a", cpu: 10000})
	}
	if err := s.begin(2, runners...); err != nil {
		return err
	}
	urgent := lasting(1, "invoice-post", "key-oru31", 39, 1000)
	if err := s.client.submit(urgent); err != nil {
		return err
	}
	n := 10
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); n++ {
		j := &job{id: jobID(n), queue: "invoice-post", key: "key-oru31", spec: spec{MS: 400, CPU: 1000}, steps: []map[string]any{tasks(2, 1000, 400, nil)}}
		if err := s.client.submit(j); err != nil {
			return err
		}
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(time.Second)
	var large []*job
	if s.trouble {
		j := &job{id: jobID(5000), queue: "route-plan", key: "key-kaje80", spec: spec{MS: 8000, CPU: 1000},
			steps: []map[string]any{tasks(37, 1000, 8000, map[string]any{"gang": true})}}
		if err := s.client.submit(j); err != nil {
			return err
		}
		large = append(large, j)
	}
	var small []*job
	for i := range 6 {
		j := &job{id: jobID(6000 + i), queue: "lot-sort", key: "key-oru31", spec: spec{MS: 1000, CPU: 5000}, steps: []map[string]any{tasks(1, 5000, 1000, nil)}}
		if err := s.client.submit(j); err != nil {
			return err
		}
		small = append(small, j)
		time.Sleep(200 * time.Millisecond)
	}
	// finish_s is 14; then 3 s on end.
	s.watchWaiting(small, service, 14*time.Second, 40*time.Second)
	for _, j := range large {
		s.rec.line("%s after its acceptance job %s is %s", time.Since(j.accepted).Round(time.Second), j.id, s.client.status(j))
	}
	return nil
}

// watchWaiting checks the rule on jobs of one step, some time after the end of the traffic: a
// job has nothing running for 3 s on end while under half of its service's capacity is in
// use. The jobs are small: there is room for each twice over then.
func (s *site) watchWaiting(jobs []*job, service string, after, most time.Duration) {
	ended := time.Now()
	time.Sleep(after)
	idle := make(map[string]time.Time)
	for time.Since(ended) < most {
		used, total := int64(0), int64(0)
		for _, r := range s.runners {
			r.mu.Lock()
			if r.service == service {
				used, total = used+r.used(), total+r.cpu
			}
			r.mu.Unlock()
		}
		for _, j := range jobs {
			if s.runsOf(j.id) > 0 || 2*used >= total || s.completed(j) {
				delete(idle, j.id)
				continue
			}
			since, known := idle[j.id]
			if !known {
				idle[j.id] = time.Now()
			} else if !since.IsZero() && time.Since(since) >= 3*time.Second {
				idle[j.id] = time.Time{}
				s.breaks("LOST: job %s, accepted %s ago, has had nothing running for 3 s; %d of %d cores of the service %s are in use", j.id,
					time.Since(j.accepted).Round(time.Second), used/1000, total/1000, service)
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	for _, j := range jobs {
		s.rec.line("%s after its acceptance job %s is %s", time.Since(j.accepted).Round(time.Second), j.id, s.client.status(j))
	}
}

// completed reports whether all tasks of a job of one step have ended done.
func (s *site) completed(j *job) bool {
	done := 0
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range j.steps[0]["count"].(int) {
		for _, e := range s.history[fmt.Sprintf("%s.0.0.%d", j.id, i)] {
			if e.what == "done" {
				done++
				break
			}
		}
	}
	return done == j.steps[0]["count"].(int)
}

// caseOther: urgent work fills one service; jobs of another service, which is idle, come.
func caseOther(s *site) error {
	var runners []runnerOf
	for range 8 {
		runners = append(runners, runnerOf{kind: "a", cpu: 10000})
	}
	for range 2 {
		runners = append(runners, runnerOf{kind: "a", cpu: 10000, service: other})
	}
	if err := s.begin(2, runners...); err != nil {
		return err
	}
	if s.trouble {
		if err := s.client.submit(lasting(1, "invoice-post", "key-oru31", 70, 1000)); err != nil {
			return err
		}
		n := 10
		for end := time.Now().Add(20 * time.Second); time.Now().Before(end); n++ {
			j := &job{id: jobID(n), queue: "invoice-post", key: "key-oru31", spec: spec{MS: 400, CPU: 1000}, steps: []map[string]any{tasks(2, 1000, 400, nil)}}
			if err := s.client.submit(j); err != nil {
				return err
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	var small []*job
	for i := range 4 {
		j := &job{id: jobID(6000 + i), queue: "van-sort", key: "key-kaje80", spec: spec{MS: 1000, CPU: 2000}, steps: []map[string]any{tasks(2, 2000, 1000, nil)}}
		if err := s.client.submit(j); err != nil {
			return err
		}
		small = append(small, j)
		time.Sleep(200 * time.Millisecond)
	}
	// finish_s is 14; then 3 s on end.
	s.watchWaiting(small, other, 14*time.Second, 40*time.Second)
	return nil
}
