package grpc

import (
	"math"
	"strconv"
	"testing"
	"time"
)

func TestTimeouts(t *testing.T) {
	t.Run("parse", func(t *testing.T) {
		for s, want := range map[string]time.Duration{"1H": time.Hour, "99999999n": 99999999, "5S": 5 * time.Second,
			"0m": 0, "250m": 250 * time.Millisecond, "3u": 3 * time.Microsecond, "2M": 2 * time.Minute,
			"99999999H": math.MaxInt64} {
			t.Run(s, func(t *testing.T) {
				if got, err := ParseTimeout(s); err != nil || got != want {
					t.Errorf("timeout %v, error %v, want %v", got, err, want)
				}
			})
		}
	})
	t.Run("parse malformed", func(t *testing.T) {
		for _, s := range []string{"", "S", "5", "-5S", "5s", "123456789S", "1.5S", " 5S", "+1S"} {
			t.Run(strconv.Quote(s), func(t *testing.T) {
				if _, err := ParseTimeout(s); err == nil {
					t.Errorf("malformed timeout %q is accepted", s)
				}
			})
		}
	})
	t.Run("format", func(t *testing.T) {
		for _, d := range []time.Duration{0, 1, 99999999, 100000000, 1234567 * time.Millisecond, 400 * time.Hour, math.MaxInt64, -5} {
			t.Run(d.String(), func(t *testing.T) {
				got, err := ParseTimeout(FormatTimeout(d))
				if err != nil || got > max(d, 0) || float64(got) < 0.99*float64(d)-1 {
					t.Errorf("formatted as %s = %v (error %v): longer, or over 1%% shorter", FormatTimeout(d), got, err)
				}
			})
		}
	})
}
