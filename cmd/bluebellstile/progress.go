package main

import (
	"time"
)

// progressPeriod is the time between two notes on a command that waits.
const progressPeriod = 10 * time.Second

// noteWaiting notes on stderr, once in every period, that the command still
// waits for what. The caller must call the returned function when it doesn't.
func noteWaiting(env *environment, what string) func() {
	stop := make(chan struct{})
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		start := time.Now()
		ticker := time.NewTicker(progressPeriod)
		defer ticker.Stop()
		for {
			select {
			case <-stop:
				return
			case <-ticker.C:
				env.note("waiting for %s, %s so far", what, time.Since(start).Round(time.Second))
			}
		}
	}()
	return func() {
		close(stop)
		<-ended
	}
}
