package endpoints

import (
	"testing"
	"time"

	"github.com/topazfront/topazfront/internal/testsupport"
	"github.com/topazfront/topazfront/internal/wallclock"
)

// steppedClock is a router's clock beside the wall clock of the same host.
type steppedClock struct {
	now       time.Duration
	wallAhead time.Duration // of the true time, when the router started
}

var trueEpoch = wallclock.FromUnixMilli(1_800_000_000_000) // when the router's clock is at 0

func (c *steppedClock) Now() time.Duration { return c.now }

func (c *steppedClock) FromWallTime(moment wallclock.Time) time.Duration {
	return moment.Sub(trueEpoch) - c.wallAhead
}

// TestStartTimesWithSteppedWallClock checks for each step of the wall clock, at the router before its start or at the
// platform in mid-run, that a worker which an update names is never taken for one that has run longer than it has, nor
// for one that starts later than now, and that the conversion is exact where the clocks are right.
func TestStartTimesWithSteppedWallClock(t *testing.T) {
	const currentAt, startedAt, seenAt = 99 * time.Second, 99*time.Second + 400*time.Millisecond, 100 * time.Second
	for _, step := range testsupport.WallClockSteps {
		for name, ahead := range map[string]struct{ router, platform time.Duration }{
			"router before its start": {router: step}, "platform in mid-run": {platform: step},
		} {
			t.Run(name+" "+step.String(), func(t *testing.T) {
				clock := &steppedClock{now: 50 * time.Second, wallAhead: ahead.router}
				starts := NewStartTimes(clock)
				byPlatform := func(at time.Duration) wallclock.Time { return trueEpoch.Add(at + ahead.platform) }
				initial := starts.Convert("restarts", byPlatform(20*time.Second))
				if initial > clock.now {
					t.Errorf("a worker of the first list starts at %v, in the future", initial)
				}
				starts.ListConfirmed(currentAt)
				clock.now = seenAt
				converted := map[string]time.Duration{}
				for _, worker := range []string{"new", "restarts"} {
					converted[worker] = starts.Convert(worker, byPlatform(startedAt))
					if got := converted[worker]; got < currentAt || got > seenAt || step == 0 && got != startedAt {
						t.Errorf("%s started at %v, taken for %v", worker, startedAt, got)
					}
				}
				clock.now += time.Hour
				starts.ListConfirmed(clock.now)
				for worker, before := range converted {
					if again := starts.Convert(worker, byPlatform(startedAt)); again != before {
						t.Errorf("%s: first %v, later %v", worker, before, again)
					}
				}
			})
		}
	}
}

// TestRestartIsLaterThanStart checks that a new start of a worker is later than the one before even if both came within
// one turn of the clock, and that a worker that left the list is forgotten.
func TestRestartIsLaterThanStart(t *testing.T) {
	clock := &steppedClock{now: time.Minute, wallAhead: -time.Hour}
	starts := NewStartTimes(clock)
	first := starts.Convert("a", trueEpoch)
	if restarted := starts.Convert("a", trueEpoch.Add(-time.Second)); restarted <= first {
		t.Errorf("restarted at %v, before that started at %v", restarted, first)
	}
	starts.Retain(func(worker string) bool { return worker != "a" })
	if len(starts.known) != 0 {
		t.Errorf("remembers %v", starts.known)
	}
}
