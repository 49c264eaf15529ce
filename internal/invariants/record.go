// Package invariants checks the gateway's five rules from outside: on what clients, workers and the list recorded
// at their own ends of the sockets. It never asks a router.
package invariants

import (
	"sync"
	"time"
)

// Kind is what a record tells.
type Kind int

// The kinds of record.
const (
	Asked      Kind = iota // a client sent a try
	Answered               // it got a final answer from a router
	Left                   // it gave up, cancelled, or lost its router; nothing is owed any more
	Got                    // a worker received an attempt
	Ran                    // and began to run it
	Ordered                // a worker received a load order of Copies copies
	Told                   // the list told a router of a worker's state
	Said                   // a worker told a router that it drains,
	Ready                  // and that it is ready
	Started                // a worker's process began
	Fell                   // a cold worker fell over
	RouterDown             // a router was killed; what it held is its clients' to repeat
)

// Answer is a final answer as a client sees it.
type Answer int

// The answers.
const (
	Served Answer = iota
	Refused
	Failed
)

func (a Answer) String() string { return [...]string{"served", "refused", "failed"}[a] }

// Record is one thing that happened at a socket.
type Record struct {
	At       time.Duration
	Kind     Kind
	Call     string // the try: unique
	Request  string // what the try is for: the same for a client's repeats
	Class    string
	Router   string
	Worker   string
	Answer   Answer
	Deadline time.Duration // of Asked: when the client gives up
	Copies   int
	Off      bool // of Told: draining or gone
}

// Log collects records. It may be used from any goroutine.
type Log struct {
	begin time.Time
	mu    sync.Mutex
	list  []Record
}

// NewLog returns an empty Log whose clock begins now.
func NewLog() *Log { return &Log{begin: time.Now()} }

// Now is the log's time.
func (l *Log) Now() time.Duration { return time.Since(l.begin) }

// Add records something at the present time, or at r.At where that is set.
func (l *Log) Add(r Record) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r.At == 0 {
		r.At = time.Since(l.begin)
	}
	l.list = append(l.list, r)
}

// Records returns what was recorded so far, in the order of recording. The slice is the caller's.
func (l *Log) Records() []Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Record(nil), l.list...)
}
