package invariants

import (
	"sync"
	"time"
)

// RecordKind says what happened.
type RecordKind int

// The kinds of record.
const (
	CallSent            RecordKind = iota // a client sent a call to a router
	FinalAnswer                           // the client got a final answer from the router
	CallAbandoned                         // the client gave up, cancelled, or lost its router; no answer is due any more
	AttemptReceived                       // a worker received an attempt of a call
	RunStarted                            // a worker began to run an attempt
	LoadCommandReceived                   // a worker received a load command for Copies copies
	EndpointNotified                      // the endpoint list reported a worker's state to a router
	WorkerDraining                        // a worker reported to a router that it drains
	WorkerReady                           // a worker reported to a router that it is ready
	WorkerStarted                         // a worker's process started
	WorkerOverloaded                      // a worker failed under load while it warmed up
	RouterKilled                          // a router was killed; its clients have to repeat the calls that it held
	RouterStarted                         // a router's process started anew, and with it its load rate limit
)

// Answer is a final answer as a client sees it.
type Answer int

// The final answers.
const (
	Served Answer = iota
	Rejected
	Failed
)

func (a Answer) String() string { return [...]string{"served", "rejected", "failed"}[a] }

// Record is one thing that happened at a socket. Only the fields that its kind needs are set.
type Record struct {
	At          time.Duration // since the start of the log
	Kind        RecordKind
	Call        string // unique; a client's retry is another call
	Request     string // the same for all calls by which a client repeats one request
	Class       string
	Router      string
	Worker      string
	Answer      Answer
	Deadline    time.Duration // of CallSent: when the client gives up
	Remaining   time.Duration // of AttemptReceived: how long the router will wait, as the worker was told
	Copies      int           // of LoadCommandReceived; 0: the state is asked for, nothing is to be loaded
	Unavailable bool          // of EndpointNotified: draining or removed
}

// Log collects records. It may be used from any goroutine.
type Log struct {
	startedAt time.Time
	mu        sync.Mutex
	records   []Record
}

// NewLog returns an empty Log whose clock starts now.
func NewLog() *Log { return &Log{startedAt: time.Now()} }

// Now is the time since the start of the log.
func (l *Log) Now() time.Duration { return time.Since(l.startedAt) }

// Add appends a record. Where r.At is 0 the present time is set.
func (l *Log) Add(r Record) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r.At == 0 {
		r.At = time.Since(l.startedAt)
	}
	l.records = append(l.records, r)
}

// Records returns what was recorded so far, in the order of recording. The slice is the caller's.
func (l *Log) Records() []Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Record(nil), l.records...)
}
