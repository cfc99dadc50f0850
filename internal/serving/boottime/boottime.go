// Package boottime is a steady clock that also counts the time in which the
// VM was suspended, unlike Go's monotonic clock.
package boottime

import (
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// Clock returns the time since the VM started.
type Clock func() time.Duration

// System is the clock of the VM.
func System() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// A lease must never be judged by a clock that stands still.
		panic(errors.Wrap(err, "read CLOCK_BOOTTIME"))
	}
	return time.Duration(ts.Nano())
}
