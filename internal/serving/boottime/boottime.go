// Package boottime provides a monotonic clock that includes the time while the VM
// was suspended, unlike Go's monotonic clock.
package boottime

import (
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// Clock returns the time since the VM booted.
type Clock func() time.Duration

// System is the Clock of this VM. It panics if CLOCK_BOOTTIME cannot be read.
func System() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Lease expiry must not be evaluated with a clock that does not advance.
		panic(errors.Wrap(err, "read CLOCK_BOOTTIME"))
	}
	return time.Duration(ts.Nano())
}
