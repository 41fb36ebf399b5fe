// Package clock tells time for leases and terms. Its readings count the time
// for which the process or its whole instance stood still.
package clock

import (
	"syscall"
	"time"
	"unsafe"
)

// Clock tells time.
type Clock interface {
	// Now returns the time since a fixed origin. It never goes back and counts
	// suspension.
	Now() time.Duration
	// Wall returns the time of day, which may step.
	Wall() time.Time
}

// clockBootTime is CLOCK_BOOTTIME of Linux. CLOCK_MONOTONIC, which time.Now
// reads, stands still while the instance is suspended.
const clockBootTime = 7

// System returns the clock of the operating system.
func System() Clock { return system{} }

type system struct{}

// Now implements Clock.
func (system) Now() time.Duration {
	var ts syscall.Timespec
	_, _, errno := syscall.RawSyscall(syscall.SYS_CLOCK_GETTIME, clockBootTime, uintptr(unsafe.Pointer(&ts)), 0)
	if errno != 0 {
		// The call has no other failure than a kernel without this clock,
		// on which no lease can be judged.
		panic("clock: CLOCK_BOOTTIME can't be read: " + errno.Error())
	}
	return time.Duration(ts.Nano())
}

// Wall implements Clock.
func (system) Wall() time.Time { return time.Now() }

// Instant is a reading of both clocks.
type Instant struct {
	// Steady is the time since a fixed origin; it counts suspension.
	Steady time.Duration
	// Wall is the time of day.
	Wall time.Time
}

// Read returns what a clock shows.
func Read(c Clock) Instant { return Instant{Steady: c.Now(), Wall: c.Wall()} }
