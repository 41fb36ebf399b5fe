// Package clock provides the clocks for leases and terms. The steady clock
// keeps running while the process or its whole instance is suspended.
package clock

import (
	"syscall"
	"time"
	"unsafe"
)

// Clock reads a steady clock and the wall clock.
type Clock interface {
	// Now returns the time since a fixed origin. It never goes back and
	// includes the time during which the instance was suspended.
	Now() time.Duration
	// Wall returns the wall-clock time, which may jump.
	Wall() time.Time
}

// clockBootTime is CLOCK_BOOTTIME of Linux. CLOCK_MONOTONIC, which time.Now
// reads, stops while the instance is suspended.
const clockBootTime = 7

// System returns the clock of the operating system.
func System() Clock { return system{} }

type system struct{}

// Now implements Clock.
func (system) Now() time.Duration {
	var ts syscall.Timespec
	_, _, errno := syscall.RawSyscall(syscall.SYS_CLOCK_GETTIME, clockBootTime, uintptr(unsafe.Pointer(&ts)), 0)
	if errno != 0 {
		// The call fails only on a kernel without this clock, where the expiry
		// of a lease can't be determined.
		panic("clock: cannot read CLOCK_BOOTTIME: " + errno.Error())
	}
	return time.Duration(ts.Nano())
}

// Wall implements Clock.
func (system) Wall() time.Time { return time.Now() }

// Instant is a reading of both clocks.
type Instant struct {
	// Steady is the time since a fixed origin, including suspension.
	Steady time.Duration
	// Wall is the wall-clock time.
	Wall time.Time
}

// Read reads both clocks of c.
func Read(c Clock) Instant { return Instant{Steady: c.Now(), Wall: c.Wall()} }
