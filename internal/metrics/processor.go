package metrics

import (
	"syscall"
	"time"
)

// ProcessorTime returns the user and system CPU time that this process has
// used.
func ProcessorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		// Getrusage fails only for an invalid argument.
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
