package fakeworker

import (
	"errors"
	"sync"
	"time"
)

// Store is the one store that all workers fetch plug-ins from. It serves Rate fetches a second at full pace,
// slows down with what it has in hand, and turns fetches away beyond a limit.
type Store struct {
	mu          sync.Mutex
	rate        float64
	limit       int
	inFlight    int
	pausedUntil time.Time
	fetches     int
	rejected    int
}

// ErrStore tells that the store turned a fetch away.
var ErrStoreFull = errors.New("store is full")

// NewStore returns a store; limit bounds the fetches in hand.
func NewStore(rate float64, limit int) *Store { return &Store{rate: rate, limit: limit} }

// Fetch begins a fetch that would take so long alone; done is called with the result when it is over.
func (s *Store) Fetch(alone time.Duration, done func(error)) {
	s.mu.Lock()
	s.fetches++
	if s.inFlight >= s.limit {
		s.rejected++
		s.mu.Unlock()
		time.AfterFunc(5*time.Millisecond, func() { done(ErrStoreFull) })
		return
	}
	s.inFlight++
	crowd := max(float64(s.inFlight)/(s.rate*max(alone.Seconds(), 0.01)), 1)
	took := time.Duration(float64(alone) * crowd)
	if wait := time.Until(s.pausedUntil); wait > 0 {
		took += wait
	}
	s.mu.Unlock()
	time.AfterFunc(took, func() {
		s.mu.Lock()
		s.inFlight--
		s.mu.Unlock()
		done(nil)
	})
}

// Stop has the store stand still for a while.
func (s *Store) Pause(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pausedUntil = time.Now().Add(d)
}

// Fetches tells how many fetches were asked for, and how many were turned away.
func (s *Store) Totals() (asked, refused int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fetches, s.rejected
}

// Cell is the workers that drop each other's repeats of keyed calls.
type Deduplicator struct {
	mu     sync.Mutex
	seenAt map[string]time.Time
}

// NewCell returns a cell that has seen nothing.
func NewDeduplicator() *Deduplicator { return &Deduplicator{seenAt: map[string]time.Time{}} }

// first tells whether a key is new within the window, and notes it.
func (c *Deduplicator) isFirst(key string, window time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if at, ok := c.seenAt[key]; ok && now.Sub(at) < window {
		return false
	}
	if len(c.seenAt) > 10000 {
		for k, at := range c.seenAt {
			if now.Sub(at) > window {
				delete(c.seenAt, k)
			}
		}
	}
	c.seenAt[key] = now
	return true
}
