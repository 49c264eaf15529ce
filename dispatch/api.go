// Package dispatch decides for one router where each request goes, when copies are loaded, and how a
// request ends. This file is its interface; every decision is in brain.go.
//
// A [Dispatcher] belongs to one goroutine. The caller hands it the events that have come in, in order
// of arrival, and carries out the returned actions in the order given, at the time of the call. Time is
// whatever clock the caller keeps, as a duration since any fixed moment; it must never run backwards.
// Slices and events passed in are not kept beyond the call; the returned slice is valid until the next.
package dispatch

import "time"

// RequestID names one try of one client. The caller never uses an id twice in a Dispatcher's life.
type RequestID uint64

// Effect says what repeating a request of a class does.
type Effect int

// The kinds of effect.
const (
	Unsafe Effect = iota // must never run twice
	Keyed                // workers of one group drop a repeat for a while
	Safe                 // may run any number of times
)

// Scope is the group of workers that drop each other's repeats of a keyed request.
type Scope int

// The scopes.
const (
	ScopeAll Scope = iota
	ScopeZone
	ScopeCell
)

// Source says by what way workers tell their load.
type Source int

// The sources.
const (
	FromNothing Source = iota
	FromAnswers
	FromProbes
)

// Class is a class of requests. An answer within Aim earns Worth, one within Deadline LateShare of it.
type Class struct {
	Name          string
	Aim, Deadline time.Duration
	Worth         float64
	LateShare     float64
	Effect        Effect
	Scope         Scope
	Window        time.Duration // how long repeats of a keyed request are dropped
}

// Tenant is one of several customers that share the fleet.
type Tenant struct {
	Name  string
	Quota float64 // requests a second over all routers that count as within its share
	Share float64
}

// Kind is a kind of worker.
type Kind struct {
	Name     string
	MemoryMB float64
}

// Settings are what a router is told at its start.
type Settings struct {
	Zone           string
	Routers        int // how many routers share the fleet, this one included
	Classes        []Class
	Tenants        []Tenant
	OverShareWorth float64 // what a request beyond its tenant's share is worth
	Kinds          []Kind
	LoadsOnMiss    bool // a worker that lacks a function loads it, rather than answering Miss
	MayOrder       bool // load orders are permitted
	TellsWarm      bool // answers say whether a copy stood loaded
	IdleKeep       time.Duration
	LoadSpan       time.Duration // the ration of load orders: 0 for none
	LoadFree       float64
	LoadRatio      float64
	Reports        Source
	MayCancel      bool
	MayProbe       bool
	ProbePrice     float64 // what a probe for every request would cost, as a share of the worth offered
	SecondCopies   bool    // two attempts of a request may be out at once
	MaxAttempts    int
	MaxRetryAfter  time.Duration // the longest advice that clients follow: 0 for none
	AnswerGrace    time.Duration
	DrainGrace     time.Duration
	ColdShare      float64 // a worker starts at this share of its capacity or more
	ColdFor        time.Duration
	FallMultiple   float64 // a cold worker falls over at this multiple of its present capacity
	FallSpan       time.Duration
	TellsDoubts    bool // Doubt actions are wanted
	MustAsk        bool // the list of workers comes only to those who subscribe
}

// State is a worker's state by the list.
type State int

// The states.
const (
	On State = iota
	Draining
	Gone
)

// Member is one worker as the list has it.
type Member struct {
	ID      string
	Zone    string
	Kind    string
	Cell    int
	State   State
	Weight  float64
	Started time.Duration // when its process last started; 0 for long ago
}

// Load is what a worker reports of itself; a negative field was not reported.
type Load struct {
	InFlight, Queue, Loading float64
}

// NoLoad is the report that tells nothing.
var NoLoad = Load{InFlight: -1, Queue: -1, Loading: -1}

// Result is how an attempt, an order or a probe ended.
type Result int

// The results. Refused, NoConnection, NotSent and Missed prove that the attempt never ran.
const (
	OK Result = iota
	Errored
	Refused // full, no room, or draining
	TimedOut
	NoConnection
	Reset
	Cancelled
	NotSent
	Missed
)

// Warmth is what an answer tells of the copy that served it.
type Warmth int

// The degrees of warmth.
const (
	Untold     Warmth = iota
	FoundWarm         // a copy stood loaded
	BeganLoad         // this request began a load
	JoinedLoad        // it waited on a load begun earlier
	LoadFailed        // the load it waited on failed
)

// Event is something that happened: one of the types below.
type Event interface{ event() }

// Request is a new request. It must get exactly one final answer: the first OK, a Refuse or a Fail.
type Request struct {
	ID       RequestID
	Function string
	Class    string
	Tenant   string
	MemoryMB float64       // of one loaded copy
	Lanes    int           // requests that one copy runs at a time
	LoadTime time.Duration // usual time of a load; 0 for untold
	Work     time.Duration // expected work on a standard core; 0 for untold
	Left     time.Duration // until the client gives up
}

// Outcome is the end of an attempt; each Send gets exactly one. Final is set when the request has ended.
type Outcome struct {
	ID      RequestID
	Attempt int
	Worker  string
	Result  Result
	Took    time.Duration
	Final   bool
	Warmth  Warmth
	Company int // requests of the function that the worker held; -1 for untold
	Load    Load
}

// Dropped tells that the client has left; nothing is owed for the request any more.
type Dropped struct{ ID RequestID }

// Started tells that a streamed response has begun: the attempt is the client's from now on.
type Started struct {
	ID      RequestID
	Attempt int
	Worker  string
	Took    time.Duration
}

// Loaded answers a Load order. Copies is how many stand loaded.
type Loaded struct {
	Worker   string
	Function string
	Result   Result
	Took     time.Duration
	Copies   int
}

// Probed answers a Probe.
type Probed struct {
	Worker string
	Result Result
	Took   time.Duration
	Load   Load
}

// Roster brings the list of workers, or what changed in it. Failed tells that a subscription broke.
type Roster struct {
	Whole   bool // the complete list: whoever is absent is gone
	Failed  bool
	Members []Member
}

// Peers brings what other routers' word led to. Routers is the highest count of routers seen live so far,
// 0 for untold: it can only lower this router's shares. Silent names workers that gave no sign of life to
// a look that this router itself took.
type Peers struct {
	Routers int
	Silent  []string
}

// Closing tells that this router ends: a request in hand that has no answer by then gets a final one, and
// what comes later brings no more time than is left.
type Closing struct{ Within time.Duration }

// Woken tells that a Wake has come due.
type Woken struct{}

func (Request) event() {}
func (Outcome) event() {}
func (Dropped) event() {}
func (Started) event() {}
func (Loaded) event()  {}
func (Probed) event()  {}
func (Roster) event()  {}
func (Peers) event()   {}
func (Closing) event() {}
func (Woken) event()   {}

// Action is something for the router to do: one of the types below.
type Action interface{ action() }

// Send starts an attempt; a request's attempts are numbered from 0 in the order of their Sends.
type Send struct {
	ID      RequestID
	Worker  string
	Timeout time.Duration // 0: until the client gives up
}

// Cancel stops waiting on one attempt; its Outcome still comes.
type Cancel struct {
	ID      RequestID
	Attempt int
}

// Refuse is a final answer that promises that another try does no harm.
type Refuse struct {
	ID    RequestID
	After time.Duration // how long the client should stay away; 0 for no advice
}

// Fail is a final answer that promises nothing.
type Fail struct{ ID RequestID }

// LoadOrder has a worker hold Copies of a function; 0 only asks. It is answered by Loaded.
type LoadOrder struct {
	Worker   string
	Function string
	Copies   int
}

// Probe examines a worker. It is answered by Probed.
type Probe struct{ Worker string }

// Watch subscribes to changes of the list.
type Watch struct{}

// Wake asks for a Woken after a while.
type Wake struct{ After time.Duration }

// Doubt tells what this router has come to hold against a worker, by its own evidence: that it is silent,
// or that it fails a class, or that it is slow. It comes where Settings.TellsDoubts asks for it; nothing is
// to be done about it.
type Doubt struct {
	Worker string
	Class  string // that it fails
	Slow   bool
}

// Note is a line for the log.
type Note struct{ Text string }

func (Send) action()      {}
func (Cancel) action()    {}
func (Refuse) action()    {}
func (Fail) action()      {}
func (LoadOrder) action() {}
func (Probe) action()     {}
func (Watch) action()     {}
func (Wake) action()      {}
func (Doubt) action()     {}
func (Note) action()      {}
