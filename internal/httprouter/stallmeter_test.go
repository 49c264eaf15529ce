package httprouter

import (
	"sync"
	"testing"
	"time"
)

// stallMeter measures for how long the machine has kept this process from running. Assertions on times allow for it.
type stallMeter struct {
	mu      sync.Mutex
	stalled time.Duration
}

const (
	stallSample  = time.Millisecond
	usualLatency = 10 * time.Millisecond  // of a wake-up
	fixedSlack   = 100 * time.Millisecond // that a time may be exceeded by on an idle machine
	stallFactor  = time.Duration(2)       // another process may have been stalled for longer
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
			case <-time.After(stallSample):
			}
			now := time.Now()
			if over := now.Sub(last) - stallSample - usualLatency; over > 0 {
				m.mu.Lock()
				m.stalled += over
				m.mu.Unlock()
			}
			last = now
		}
	}()
	return m
}

func (m *stallMeter) slack() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return fixedSlack + stallFactor*m.stalled
}
