package fakeworker

import (
	"errors"
	"sync"
	"time"
)

// Store is the one store that all workers fetch plug-ins from. It serves Rate fetches a second at full pace,
// slows down with what it has in hand, and turns fetches away beyond a limit.
type Store struct {
	mu      sync.Mutex
	rate    float64
	limit   int
	inHand  int
	downTil time.Time
	fetches int
	refused int
}

// ErrStore tells that the store turned a fetch away.
var ErrStore = errors.New("store is full")

// NewStore returns a store; limit bounds the fetches in hand.
func NewStore(rate float64, limit int) *Store { return &Store{rate: rate, limit: limit} }

// Fetch begins a fetch that would take so long alone; done is called with the result when it is over.
func (s *Store) Fetch(alone time.Duration, done func(error)) {
	s.mu.Lock()
	s.fetches++
	if s.inHand >= s.limit {
		s.refused++
		s.mu.Unlock()
		time.AfterFunc(5*time.Millisecond, func() { done(ErrStore) })
		return
	}
	s.inHand++
	crowd := max(float64(s.inHand)/(s.rate*max(alone.Seconds(), 0.01)), 1)
	took := time.Duration(float64(alone) * crowd)
	if wait := time.Until(s.downTil); wait > 0 {
		took += wait
	}
	s.mu.Unlock()
	time.AfterFunc(took, func() {
		s.mu.Lock()
		s.inHand--
		s.mu.Unlock()
		done(nil)
	})
}

// Stop has the store stand still for a while.
func (s *Store) Stop(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.downTil = time.Now().Add(d)
}

// Fetches tells how many fetches were asked for, and how many were turned away.
func (s *Store) Fetches() (asked, refused int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fetches, s.refused
}

// Cell is the workers that drop each other's repeats of keyed calls.
type Cell struct {
	mu   sync.Mutex
	seen map[string]time.Time
}

// NewCell returns a cell that has seen nothing.
func NewCell() *Cell { return &Cell{seen: map[string]time.Time{}} }

// first tells whether a key is new within the window, and notes it.
func (c *Cell) first(key string, window time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if at, ok := c.seen[key]; ok && now.Sub(at) < window {
		return false
	}
	if len(c.seen) > 10000 {
		for k, at := range c.seen {
			if now.Sub(at) > window {
				delete(c.seen, k)
			}
		}
	}
	c.seen[key] = now
	return true
}
