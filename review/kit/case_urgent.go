package main

import (
	"fmt"
	"net/http"
	"time"
)

// playUrgent: urgent jobs of wide tasks come, and then another job of tasks that
// take half a runner.
func playUrgent(s *Site) ([]string, error) {
	if err := s.Open(4, Config(100, Route("lots", 2))); err != nil {
		return nil, err
	}
	if s.Trouble {
		for range 5 {
			s.Clients.Submit("/essais/", s.Clients.NewID(), object{"spec": "work 640", "steps": []object{{"count": 2, "cpu": 36000, "mem_mb": 5700, "estimate_ms": 640}}})
			time.Sleep(300 * time.Millisecond)
		}
	}
	time.Sleep(2 * time.Second)
	id := s.Clients.NewID()
	if status := s.Clients.Submit("/lots/", id, object{"spec": "work 2000", "steps": []object{{"count": 2, "cpu": 32000, "mem_mb": 5700, "estimate_ms": 2000}}}); status != http.StatusOK {
		return nil, fmt.Errorf("the job was answered %d", status)
	}
	time.Sleep(finish)
	return judgeIdle(s, []string{id}), nil
}
