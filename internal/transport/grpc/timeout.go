package grpc

import (
	"errors"
	"math"
	"strconv"
	"time"
)

// ErrMalformedTimeout is returned for a malformed grpc-timeout.
var ErrMalformedTimeout = errors.New("grpc: grpc-timeout is not up to eight digits and a unit")

// Limits on the number in a grpc-timeout.
const (
	maxTimeoutDigits = 8
	maxTimeoutValue  = 99999999
)

// timeoutUnits lists the units of a grpc-timeout, shortest first.
var timeoutUnits = [...]struct {
	name     byte
	duration time.Duration
}{
	{'n', time.Nanosecond},
	{'u', time.Microsecond},
	{'m', time.Millisecond},
	{'S', time.Second},
	{'M', time.Minute},
	{'H', time.Hour},
}

// timeoutUnit returns the duration of the unit with the given name, or 0 if there is no such unit.
func timeoutUnit(name byte) time.Duration {
	for _, unit := range timeoutUnits {
		if unit.name == name {
			return unit.duration
		}
	}
	return 0
}

// ParseTimeout parses a grpc-timeout: up to eight digits and a unit. A value that overflows time.Duration gives the
// longest Duration. The error is ErrMalformedTimeout.
func ParseTimeout(s string) (time.Duration, error) {
	if len(s) < 2 || len(s) > maxTimeoutDigits+1 {
		return 0, ErrMalformedTimeout
	}
	n := int64(0)
	for _, b := range []byte(s[:len(s)-1]) {
		if b < '0' || b > '9' {
			return 0, ErrMalformedTimeout
		}
		n = n*10 + int64(b-'0')
	}
	unit := timeoutUnit(s[len(s)-1])
	if unit == 0 {
		return 0, ErrMalformedTimeout
	}
	if n > math.MaxInt64/int64(unit) {
		return math.MaxInt64, nil
	}
	return time.Duration(n) * unit, nil
}

// FormatTimeout returns d as a grpc-timeout in the shortest unit that fits. It rounds down, because a worker must not
// assume a later deadline than the client's. A negative duration gives a timeout of 0.
func FormatTimeout(d time.Duration) string {
	d = max(d, 0)
	last := len(timeoutUnits) - 1
	for _, unit := range timeoutUnits[:last] {
		if n := d / unit.duration; n <= maxTimeoutValue {
			return strconv.FormatInt(int64(n), 10) + string(unit.name)
		}
	}
	longest := timeoutUnits[last]
	return strconv.FormatInt(min(int64(d/longest.duration), maxTimeoutValue), 10) + string(longest.name)
}
