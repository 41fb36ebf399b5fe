package main

import (
	"context"
	"fmt"
	"net/http"
	"time"
)

// Bounds of the pages.
const (
	finish = 14 * time.Second
)

// judgeAnswers asks for all accepted jobs finish_s after the end of the traffic
// and returns those that are not known or get no answer in time.
func judgeAnswers(s *Site) []string {
	states := s.Clients.AskForAll(6 * time.Second)
	s.Record.Say("accepted jobs by state %.0f s after the end of the traffic: %v; of the %d jobs sent, %d were refused and %d not answered in five attempts",
		finish.Seconds(), states, s.Clients.Sent, s.Clients.Refused, s.Clients.Unanswered)
	var breaks []string
	for _, state := range []string{"no answer", "unknown"} {
		if n := states[state]; n > 0 {
			breaks = append(breaks, fmt.Sprintf("LOST: %d accepted jobs, asked for %.0f s after the end of the traffic: %s", n, finish.Seconds(), state))
		}
	}
	return breaks
}

// submitSteady hands in jobs of two steps of 20 s, the second one after the first, and
// returns their ids.
func submitSteady(s *Site) []string {
	var ids []string
	for range 4 {
		id := s.Clients.NewID()
		step := object{"count": 4, "cpu": 3900, "mem_mb": 8000, "estimate_ms": 20000}
		second := object{"count": 4, "cpu": 3900, "mem_mb": 8000, "estimate_ms": 20000, "after": []int{0}}
		if s.Clients.Submit("/lots/", id, object{"spec": "work 20000", "steps": []object{step, second}}) == http.StatusOK {
			ids = append(ids, id)
		}
	}
	return ids
}

// judgeSteady returns the jobs of submitSteady of which the second step has not begun.
func judgeSteady(s *Site, ids []string) []string {
	var breaks []string
	for _, id := range ids {
		if s.Watch.Begun(id+".0.1.0") == 0 {
			breaks = append(breaks, fmt.Sprintf("LOST: the second step of the accepted job %s has not begun, %.0f s after the end of the traffic, on idle runners", id, finish.Seconds()))
		}
	}
	return breaks
}

// playLayers: a job whose steps come in layers, each after all steps of the layer before.
func playLayers(s *Site) ([]string, error) {
	if err := s.Open(3, Config(100, Route("lots", 2))); err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	traffic := s.Clients.Traffic(ctx, "/essais/", 200*time.Millisecond, smallJob)
	steady := submitSteady(s)
	time.Sleep(5 * time.Second)
	const layers, wide = 20, 4
	var steps []object
	for layer := range layers {
		for i := range wide {
			step := object{"count": 1, "cpu": 1000, "mem_mb": 500, "estimate_ms": 50}
			switch {
			case layer > 0 && s.Trouble:
				var before []int
				for k := range wide {
					before = append(before, (layer-1)*wide+k)
				}
				step["after"] = before
			case layer > 0:
				step["after"] = []int{(layer-1)*wide + i}
			}
			steps = append(steps, step)
		}
	}
	job := object{"spec": "work 50", "steps": steps, "times": 1, "initial_delay_ms": time.Now().Add(2 * time.Second).UnixMilli(), "interval_ms": 1000}
	status := s.Clients.SubmitOther("/lots/", s.Clients.NewID(), job)
	s.Record.Say("a job of %d steps in %d layers, due in 2 s, was answered %d", len(steps), layers, status)
	time.Sleep(10 * time.Second)
	stop()
	traffic.Wait()
	s.Record.Say("the traffic ends")
	time.Sleep(finish)
	return append(judgeAnswers(s), judgeSteady(s, steady)...), nil
}

// playSchedule: a schedule whose times can never be done.
func playSchedule(s *Site) ([]string, error) {
	if err := s.Open(3, Config(100, Route("lots", 2))); err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	// Ten jobs a second: one that can't be done is a share of 0.03 of 3.2 s.
	traffic := s.Clients.Traffic(ctx, "/essais/", 100*time.Millisecond, smallJob)
	steady := submitSteady(s)
	time.Sleep(5 * time.Second)
	if s.Trouble {
		const interval = 250 * time.Millisecond
		const due = 4000
		var steps []object
		for range 10 {
			steps = append(steps, object{"count": 1, "cpu": 1000, "mem_mb": 500, "estimate_ms": 500, "requires": "c"})
		}
		job := object{"spec": "work 500", "steps": steps, "times": 20000,
			"initial_delay_ms": time.Now().Add(-due * interval).UnixMilli(), "interval_ms": interval.Milliseconds()}
		status := s.Clients.SubmitOther("/essais/", s.Clients.NewID(), job)
		s.Record.Say("a schedule, each 250 ms since 17 minutes ago, of tasks that no runner may run was answered %d", status)
	}
	time.Sleep(25 * time.Second)
	stop()
	traffic.Wait()
	s.Record.Say("the traffic ends; the store has refused %d appends because of their size", s.Store.Oversize)
	time.Sleep(finish)
	return append(judgeAnswers(s), judgeSteady(s, steady)...), nil
}

// playEnds: more than 500 runs end on a runner while all daemons are down.
func playEnds(s *Site) ([]string, error) {
	if err := s.Open(2, Config(100, Route("lots", 2))); err != nil {
		return nil, err
	}
	const jobs, width = 22, 60
	for range jobs {
		s.Clients.Submit("/lots/", s.Clients.NewID(), object{"spec": "work 1800 to 3300",
			"steps": []object{{"count": width, "cpu": 80, "mem_mb": 100, "estimate_ms": 2500}}})
	}
	for until := time.Now().Add(1200 * time.Millisecond); s.Watch.TotalStarts() < jobs*width && time.Now().Before(until); {
		time.Sleep(10 * time.Millisecond)
	}
	s.Record.Say("%d and %d runs are at work", s.Runners[0].Runs(), s.Runners[1].Runs())
	if s.Trouble {
		for _, d := range s.Daemons {
			d.Kill()
		}
		s.Record.Say("all daemons were killed")
		// They start again after 1 to 3.5 s, once enough runs have ended.
		time.Sleep(time.Second)
		for until := time.Now().Add(2500 * time.Millisecond); s.Runners[0].Ends() < 700 && time.Now().Before(until); {
			time.Sleep(10 * time.Millisecond)
		}
		s.Record.Say("they start again; the runners list %d and %d ends", s.Runners[0].Ends(), s.Runners[1].Ends())
		for _, d := range s.Daemons {
			if err := d.Start(); err != nil {
				return nil, err
			}
		}
		if err := s.AwaitReady(15 * time.Second); err != nil {
			return nil, err
		}
	}
	time.Sleep(15 * time.Second)
	s.Record.Say("%d starts of %d tasks, %d ends as done", s.Watch.Starts, jobs*width, s.Watch.Done)
	return s.Watch.Twice(), nil
}

// adviceRoute is the route of jobs for which the adviser is asked.
func adviceRoute() object {
	r := Route("lots", 2)
	r["advice"] = object{"decide_ms": 9.0, "each_ms": 0.12, "valid_ms": 1500.0}
	return r
}

// playRoute: a route is removed and comes back while a job on it is at work.
func playRoute(s *Site) ([]string, error) {
	s.Adviser = &Adviser{Decide: 9 * time.Millisecond, Each: 120 * time.Microsecond, ValidFor: 1500 * time.Millisecond}
	if err := s.Open(0, Config(100, adviceRoute())); err != nil {
		return nil, err
	}
	for i := range 6 {
		r, err := s.AddRunner(fmt.Sprintf("worker%d", i+1), i, "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		r.Tickets = s.Adviser
	}
	time.Sleep(3 * time.Second)
	id := s.Clients.NewID()
	job := object{"spec": "work 2000", "steps": []object{
		{"count": 2, "cpu": 2000, "mem_mb": 1000, "estimate_ms": 2000},
		{"count": 2, "cpu": 2000, "mem_mb": 1000, "estimate_ms": 2000, "after": []int{0}},
	}}
	if status := s.Clients.Submit("/lots/", id, job); status != http.StatusOK {
		return nil, fmt.Errorf("the job was answered %d", status)
	}
	for until := time.Now().Add(5 * time.Second); s.Watch.Begun(id+".0.0.0") == 0; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(until) {
			return nil, fmt.Errorf("the job does not begin")
		}
	}
	time.Sleep(500 * time.Millisecond)
	if s.Trouble {
		s.Publish(Config(103))
		s.Record.Say("configuration 103 lacks the route of the job, which is at work")
		time.Sleep(4 * time.Second)
		s.Publish(Config(107, adviceRoute()))
		s.Record.Say("configuration 107 has the route again")
	}
	time.Sleep(finish + 6*time.Second)
	return judgeIdle(s, []string{id}), nil
}

// judgeIdle looks for four seconds at the runners and returns the jobs that are
// not completed, though nothing runs on any runner all the while.
func judgeIdle(s *Site, ids []string) []string {
	for until := time.Now().Add(4 * time.Second); time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
		for _, r := range s.Runners {
			if r.Runs() > 0 {
				s.Record.Say("%s is at work", r.ID)
				return nil
			}
		}
	}
	var breaks []string
	for _, id := range ids {
		status, state := s.Clients.State("/lots/" + id)
		s.Record.Say("job %s: %d %s", id, status, state)
		if status == http.StatusOK && state != "completed" {
			breaks = append(breaks, fmt.Sprintf("LOST: job %s is %q, and nothing has run for 4 s on runners that are idle", id, state))
		}
	}
	return breaks
}

// playAddress: a runner is lost for good, and another one comes at its address.
func playAddress(s *Site) ([]string, error) {
	if err := s.Open(2, Config(100, Route("lots", 2))); err != nil {
		return nil, err
	}
	ports, err := freePorts(1)
	if err != nil {
		return nil, err
	}
	address := fmt.Sprintf("127.0.0.1:%d", ports[0])
	added, err := s.AddRunner("worker3", 2, address)
	if err != nil {
		return nil, err
	}
	var ids []string
	for i := range 8 {
		id := s.Clients.NewID()
		ids = append(ids, id)
		s.Clients.Submit("/lots/", id, object{"spec": "work 4000",
			"steps": []object{{"count": 6, "cpu": 3900, "mem_mb": 8000, "estimate_ms": 4000}}})
		if i == 0 {
			time.Sleep(300 * time.Millisecond)
		}
	}
	for until := time.Now().Add(3 * time.Second); added.Runs() < 4; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(until) {
			return nil, fmt.Errorf("the runner that was added gets nothing to do")
		}
	}
	time.Sleep(300 * time.Millisecond)
	s.Record.Say("the runner that was added works on %d tasks", added.Runs())
	time.Sleep(1200 * time.Millisecond)
	if s.Trouble {
		added.Crash()
		s.Record.Say("it is lost for good")
		time.Sleep(2200 * time.Millisecond)
		if _, err := s.AddRunner("worker4", 2, address); err != nil {
			return nil, err
		}
		s.Record.Say("another runner comes at its address")
	}
	time.Sleep(30 * time.Second)
	return judgeIdle(s, ids), nil
}
