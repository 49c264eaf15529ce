package grpc

import (
	"errors"
	"math"
	"strconv"
	"time"
)

// ErrMalformedTimeout is the error of a malformed grpc-timeout.
var ErrMalformedTimeout = errors.New("grpc: grpc-timeout is not up to eight digits and a unit")

// The value of a grpc-timeout has up to eight digits.
const (
	maxTimeoutDigits = 8
	maxTimeoutValue  = 99999999
)

// timeoutUnits are the units of a grpc-timeout, the shortest first.
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

// timeoutUnit returns the duration of a unit, or 0 for a byte that is none.
func timeoutUnit(name byte) time.Duration {
	for _, unit := range timeoutUnits {
		if unit.name == name {
			return unit.duration
		}
	}
	return 0
}

// ParseTimeout parses a grpc-timeout: up to eight digits and a unit. A value too large for a Duration gives the
// longest one. The error is ErrMalformedTimeout.
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

// FormatTimeout returns the grpc-timeout of a duration in the shortest unit that fits, rounded down: a worker must
// not assume that it has longer than the client. A negative duration is 0.
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
