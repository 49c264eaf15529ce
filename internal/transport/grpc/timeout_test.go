package grpc

import (
	"math"
	"testing"
	"time"
)

func TestTimeouts(t *testing.T) {
	t.Run("parse", func(t *testing.T) {
		for s, want := range map[string]time.Duration{"1H": time.Hour, "99999999n": 99999999, "5S": 5 * time.Second,
			"0m": 0, "250m": 250 * time.Millisecond, "3u": 3 * time.Microsecond, "2M": 2 * time.Minute,
			"99999999H": math.MaxInt64} {
			if got, err := ParseTimeout(s); err != nil || got != want {
				t.Errorf("%s: %v, %v", s, got, err)
			}
		}
	})
	t.Run("parse malformed", func(t *testing.T) {
		for _, s := range []string{"", "S", "5", "-5S", "5s", "123456789S", "1.5S", " 5S", "+1S"} {
			if _, err := ParseTimeout(s); err == nil {
				t.Errorf("%q is accepted", s)
			}
		}
	})
	t.Run("format", func(t *testing.T) {
		for _, d := range []time.Duration{0, 1, 99999999, 100000000, 1234567 * time.Millisecond, 400 * time.Hour, math.MaxInt64, -5} {
			got, err := ParseTimeout(FormatTimeout(d))
			if err != nil || got > max(d, 0) || float64(got) < 0.99*float64(d)-1 {
				t.Errorf("%v becomes %s, %v (%v): longer, or far shorter", d, FormatTimeout(d), got, err)
			}
		}
	})
}
