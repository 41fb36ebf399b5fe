package main

import (
	"time"
)

// waitMessagePeriod is the time between two messages of a command that waits.
const waitMessagePeriod = 10 * time.Second

// startWaitMessages prints a message to stderr once in every waitMessagePeriod,
// which says that the command still waits for what. The caller must call the
// returned function when the wait is over; it returns when the messages have
// stopped.
func startWaitMessages(env *environment, what string) func() {
	stop := make(chan struct{})
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		start := time.Now()
		ticker := time.NewTicker(waitMessagePeriod)
		defer ticker.Stop()
		for {
			select {
			case <-stop:
				return
			case <-ticker.C:
				env.messagef("waiting for %s, %s so far", what, time.Since(start).Round(time.Second))
			}
		}
	}()
	return func() {
		close(stop)
		<-ended
	}
}
