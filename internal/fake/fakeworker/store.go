package fakeworker

import (
	"errors"
	"sync"
	"time"
)

const (
	rejectDelay  = 5 * time.Millisecond // of a fetch that the store rejects
	minFetchTime = 0.01                 // seconds; bounds how much a crowd slows short fetches down
)

// ErrStoreFull says that the store rejected a fetch, as too many are in flight.
var ErrStoreFull = errors.New("fakeworker: store is full")

// Store is the one store that all workers fetch models from. It completes a given rate of fetches at full speed, slows
// down with what is in flight, and rejects fetches beyond a limit. It may be used from any goroutine.
type Store struct {
	mu          sync.Mutex
	rate        float64
	limit       int
	inFlight    int
	pausedUntil time.Time
	fetches     int
	rejected    int
}

// NewStore returns a store of a rate in fetches a second; limit bounds the fetches in flight.
func NewStore(rate float64, limit int) *Store { return &Store{rate: rate, limit: limit} }

// Fetch starts a fetch that takes alone if nothing else is in flight. done is called with the result, in a goroutine of
// its own: nil or ErrStoreFull.
func (s *Store) Fetch(alone time.Duration, done func(error)) {
	s.mu.Lock()
	s.fetches++
	if s.inFlight >= s.limit {
		s.rejected++
		s.mu.Unlock()
		time.AfterFunc(rejectDelay, func() { done(ErrStoreFull) })
		return
	}
	s.inFlight++
	slowdown := max(float64(s.inFlight)/(s.rate*max(alone.Seconds(), minFetchTime)), 1)
	fetchTime := time.Duration(float64(alone) * slowdown)
	if pause := time.Until(s.pausedUntil); pause > 0 {
		fetchTime += pause
	}
	s.mu.Unlock()
	time.AfterFunc(fetchTime, func() {
		s.mu.Lock()
		s.inFlight--
		s.mu.Unlock()
		done(nil)
	})
}

// Pause makes fetches that start within d wait until it is over.
func (s *Store) Pause(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pausedUntil = time.Now().Add(d)
}

// Totals is how many fetches were asked for, and how many of them were rejected.
func (s *Store) Totals() (fetches, rejected int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fetches, s.rejected
}
