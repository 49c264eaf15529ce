package invariants

import (
	"sync"
	"time"
)

// RecordKind is the kind of event that a record describes.
type RecordKind int

// The kinds of records.
const (
	CallSent            RecordKind = iota // a client sent a call to a router
	FinalAnswer                           // the client got a final answer from the router
	CallAbandoned                         // the client gave up, cancelled, or lost its router; no final answer is required any more
	AttemptReceived                       // a worker received an attempt of a call
	RunStarted                            // a worker started to execute an attempt
	LoadCommandReceived                   // a worker received a load command for Copies copies
	EndpointNotified                      // the endpoint list reported a worker's state to a router
	WorkerDraining                        // a worker reported to a router that it drains
	WorkerReady                           // a worker reported to a router that it is ready
	WorkerStarted                         // a worker's process started
	WorkerOverloaded                      // a worker failed under load while it was warming up
	RouterKilled                          // a router was killed; its clients have to repeat the calls that were in flight there
	RouterStarted                         // a router's process restarted, which resets its load rate limit
)

// Answer is the outcome of a call as its client sees it.
type Answer int

// The outcomes of a call.
const (
	Served Answer = iota
	Rejected
	Failed
)

func (a Answer) String() string { return [...]string{"served", "rejected", "failed"}[a] }

// Record is one event observed at a socket. Only the fields that its kind needs are set.
type Record struct {
	At          time.Duration // since the start of the log
	Kind        RecordKind
	Call        string // unique; a client's retry is a new call
	Request     string // shared by all calls that a client makes for one request
	Class       string
	Router      string
	Worker      string
	Answer      Answer
	Deadline    time.Duration // of CallSent: when the client gives up, since the start of the log
	Remaining   time.Duration // of AttemptReceived: remaining deadline that the router sent to the worker
	Copies      int           // of LoadCommandReceived: copies to load; 0 means a query of the state, which loads nothing
	Unavailable bool          // of EndpointNotified: whether the worker is draining or removed
}

// Log collects records. It is safe for concurrent use.
type Log struct {
	startedAt time.Time
	mu        sync.Mutex
	records   []Record
}

// NewLog returns an empty Log whose clock starts now.
func NewLog() *Log { return &Log{startedAt: time.Now()} }

// Now returns the time since the start of the log.
func (l *Log) Now() time.Duration { return time.Since(l.startedAt) }

// Add appends a record. If r.At is 0, it is set to the current time.
func (l *Log) Add(r Record) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r.At == 0 {
		r.At = time.Since(l.startedAt)
	}
	l.records = append(l.records, r)
}

// Records returns a copy of the records so far, in the order in which they were added.
func (l *Log) Records() []Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Record(nil), l.records...)
}
