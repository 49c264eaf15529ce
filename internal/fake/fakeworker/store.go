package fakeworker

import (
	"errors"
	"sync"
	"time"
)

const (
	rejectDelay     = 5 * time.Millisecond // time until the store rejects a fetch
	minFetchSeconds = 0.01                 // bounds how much concurrent fetches slow down short ones
)

// ErrStoreFull is the error of a fetch that the store rejected because too many were in flight.
var ErrStoreFull = errors.New("fakeworker: store is full")

// Store simulates the store from which all workers fetch models. It serves a given rate of fetches at full speed, slows
// down in proportion to the fetches in flight above that, and rejects fetches beyond a limit. It may be used from any
// goroutine.
type Store struct {
	mu          sync.Mutex
	rate        float64 // fetches per second
	limit       int     // maximum number of fetches in flight
	inFlight    int
	pausedUntil time.Time
	fetches     int
	rejected    int
}

// NewStore returns a store that serves rate fetches per second and has at most limit fetches in flight.
func NewStore(rate float64, limit int) *Store { return &Store{rate: rate, limit: limit} }

// Fetch starts a fetch that takes baseTime if no others are in flight. done is called in a separate goroutine with the
// result, nil or ErrStoreFull.
func (s *Store) Fetch(baseTime time.Duration, done func(error)) {
	s.mu.Lock()
	s.fetches++
	if s.inFlight >= s.limit {
		s.rejected++
		s.mu.Unlock()
		time.AfterFunc(rejectDelay, func() { done(ErrStoreFull) })
		return
	}
	s.inFlight++
	slowdown := max(float64(s.inFlight)/(s.rate*max(baseTime.Seconds(), minFetchSeconds)), 1)
	fetchTime := time.Duration(float64(baseTime) * slowdown)
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

// Pause delays fetches that start within d from now until d has passed.
func (s *Store) Pause(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pausedUntil = time.Now().Add(d)
}

// Totals returns the number of fetches requested, and how many of them were rejected.
func (s *Store) Totals() (fetches, rejected int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fetches, s.rejected
}
