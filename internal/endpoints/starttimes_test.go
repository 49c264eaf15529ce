package endpoints

import (
	"testing"
	"time"

	"github.com/topazfront/topazfront/internal/testsupport"
	"github.com/topazfront/topazfront/internal/wallclock"
)

// skewedClock is a router's clock on a host whose wall clock is wrong.
type skewedClock struct {
	now       time.Duration
	wallAhead time.Duration // how far the wall clock was ahead of the true time when the router started
}

var trueEpoch = wallclock.FromUnixMilli(1_800_000_000_000) // the true time when the router's clock shows 0

func (c *skewedClock) Now() time.Duration { return c.now }

func (c *skewedClock) FromWallTime(moment wallclock.Time) time.Duration {
	return moment.Sub(trueEpoch) - c.wallAhead
}

// TestStartTimesWithSteppedWallClock steps the wall clock of the router before its start, or of the platform while the
// router runs. The converted start time of a worker in an update must never be earlier than the last confirmation of
// the list or in the future, and must be exact if the clocks are right.
func TestStartTimesWithSteppedWallClock(t *testing.T) {
	const confirmedAt, startedAt, seenAt = 99 * time.Second, 99*time.Second + 400*time.Millisecond, 100 * time.Second
	for _, step := range testsupport.WallClockSteps {
		for name, ahead := range map[string]struct{ router, platform time.Duration }{
			"router before its start": {router: step}, "platform in mid-run": {platform: step},
		} {
			t.Run(name+" "+step.String(), func(t *testing.T) {
				clock := &skewedClock{now: 50 * time.Second, wallAhead: ahead.router}
				starts := NewStartTimes(clock)
				byPlatform := func(at time.Duration) wallclock.Time { return trueEpoch.Add(at + ahead.platform) }
				initial := starts.Convert("restarts", byPlatform(20*time.Second))
				if initial > clock.now {
					t.Errorf("start time %v of a worker of the first list is in the future", initial)
				}
				starts.ListConfirmed(confirmedAt)
				clock.now = seenAt
				converted := map[string]time.Duration{}
				for _, worker := range []string{"new", "restarts"} {
					converted[worker] = starts.Convert(worker, byPlatform(startedAt))
					if got := converted[worker]; got < confirmedAt || got > seenAt || step == 0 && got != startedAt {
						t.Errorf("%s started at %v, converted to %v", worker, startedAt, got)
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

// TestRestartIsLaterThanStart checks that the start time after a restart is later than the previous one even if both
// are converted at the same reading of the clock, and that Retain deletes the start time of an unlisted worker.
func TestRestartIsLaterThanStart(t *testing.T) {
	clock := &skewedClock{now: time.Minute, wallAhead: -time.Hour}
	starts := NewStartTimes(clock)
	first := starts.Convert("a", trueEpoch)
	if restarted := starts.Convert("a", trueEpoch.Add(-time.Second)); restarted <= first {
		t.Errorf("restarted at %v, first started at %v", restarted, first)
	}
	starts.Retain(func(worker string) bool { return worker != "a" })
	if len(starts.converted) != 0 {
		t.Errorf("start times left after Retain: %v", starts.converted)
	}
}
