package dispatch

import (
	"testing"
	"time"
)

func TestNewRejectsUnusableSettings(t *testing.T) {
	for name, change := range map[string]func(*Settings){
		"no class":          func(s *Settings) { s.Classes = nil },
		"no attempt":        func(s *Settings) { s.MaxAttempts = 0 },
		"negative duration": func(s *Settings) { s.SlowStartDuration = -1 },
	} {
		t.Run(name, func(t *testing.T) {
			s := testSettings()
			change(&s)
			if _, err := New(s, 1); err == nil {
				t.Error("no error")
			}
		})
	}
}

// Callers may round timers down. After a Step that came too early for its timer, no new timer was set, and a request
// got no answer (incident i8c6ef0).
func TestTimerRoundedDownIsSetAgain(t *testing.T) {
	h := newHarness(t, testSettings())
	h.lastID++
	actions := h.step(Request{ID: h.lastID, Function: "f", Class: classIdempotent, MemoryMB: 1, ConcurrencyPerInstance: 1,
		ExpectedWork: time.Microsecond, RemainingDeadline: 1500500})
	for range 40 {
		timers := actionsOf[SetTimer](actions)
		if len(timers) == 0 {
			break
		}
		h.now += timers[len(timers)-1].After.Truncate(time.Microsecond)
		if actions = h.step(TimerFired{}); len(actionsOf[RejectRequest](actions)) > 0 {
			return
		}
	}
	t.Error("the request was never answered")
}

// A graceful shutdown gives every request its final answer in time: a rejection if a retry by the client is harmless,
// otherwise a failure. A request with an earlier deadline keeps it.
func TestShutdownAnswersAllRequestsInTime(t *testing.T) {
	s := testSettings()
	s.WorkersLoadOnMiss = true
	h := newHarness(t, s, "a", "b", "c")
	classes := map[RequestID]string{1: classIdempotent, 2: classNonIdempotent, 3: classIdempotent}
	deadlines := map[RequestID]time.Duration{1: time.Hour, 2: time.Hour, 3: 200 * time.Millisecond}
	for id := RequestID(1); id <= 3; id++ {
		h.step(Request{ID: id, Function: "f", Class: classes[id], MemoryMB: 300, ConcurrencyPerInstance: 1,
			RemainingDeadline: deadlines[id]})
	}
	h.step(ShutdownStarted{AnswerWithin: time.Second})
	answeredAfter := map[RequestID]time.Duration{}
	start := h.now
	for range 150 {
		h.now += 10 * time.Millisecond
		for _, a := range h.step(TimerFired{}) {
			switch a := a.(type) {
			case RejectRequest:
				answeredAfter[a.ID] = h.now - start
				if classes[a.ID] != classIdempotent {
					t.Errorf("request %d rejected, want a failure", a.ID)
				}
			case FailRequest:
				answeredAfter[a.ID] = h.now - start
				if classes[a.ID] != classNonIdempotent {
					t.Errorf("request %d failed, want a rejection", a.ID)
				}
			}
		}
	}
	for id, want := range map[RequestID]time.Duration{1: time.Second, 2: time.Second, 3: 200 * time.Millisecond} {
		at, ok := answeredAfter[id]
		if !ok || at < want-10*time.Millisecond || at > want+20*time.Millisecond {
			t.Errorf("request %d answered: %v, after %v, want after %v", id, ok, at, want)
		}
	}
}
