package httprouter

import (
	"sync"
	"testing"
	"time"
)

// stallMeter measures for how long the process was not scheduled on a loaded machine. Assertions on durations add its
// slack.
type stallMeter struct {
	mu      sync.Mutex
	stalled time.Duration
}

const (
	sampleInterval = time.Millisecond
	wakeupLatency  = 10 * time.Millisecond  // expected delay of a wake-up
	fixedSlack     = 100 * time.Millisecond // by which a duration may exceed its limit on an idle machine
	stallFactor    = time.Duration(2)       // another process may have been stalled longer than this one
)

func startStallMeter(t *testing.T) *stallMeter {
	m := &stallMeter{}
	done := make(chan struct{})
	t.Cleanup(func() { close(done) })
	go func() {
		for last := time.Now(); ; {
			select {
			case <-done:
				return
			case <-time.After(sampleInterval):
			}
			now := time.Now()
			if over := now.Sub(last) - sampleInterval - wakeupLatency; over > 0 {
				m.mu.Lock()
				m.stalled += over
				m.mu.Unlock()
			}
			last = now
		}
	}()
	return m
}

// slack returns by how much a duration that was measured since the start may exceed its limit.
func (m *stallMeter) slack() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return fixedSlack + stallFactor*m.stalled
}
