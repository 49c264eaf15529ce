// Package baseline contains simple dispatch policies with the interface of dispatch.Dispatcher. The dispatcher is
// measured against them. They are not meant for production.
package baseline

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/topazfront/topazfront/dispatch"
)

const (
	randomStream     = 9 // the second half of the PCG seed
	rejectRetryAfter = 100 * time.Millisecond

	// The time from one Step to the next timer is kept within these bounds.
	minTimer = time.Millisecond
	maxTimer = time.Second
)

// Random starts each attempt on a random active worker of the endpoint list. It retries a request if no earlier
// attempt can have run or if its class is idempotent. It observes deadlines and drains, and has no other rules.
type Random struct {
	settings dispatch.Settings
	rng      *rand.Rand
	classes  map[string]dispatch.Class
	active   []string // IDs of the active workers, sorted
	states   map[string]dispatch.EndpointState
	requests map[dispatch.RequestID]*request
	arrivals []dispatch.RequestID // in the order of arrival, for expireRequests; may contain ended requests
}

// request is a request without a final answer.
type request struct {
	class            dispatch.Class
	deadline         time.Duration
	attempts         int
	attemptsInFlight int
	mayHaveRun       bool // an attempt has ended, and nothing proves that it never ran
	responseStarted  bool
}

// NewRandom returns a Random that knows no worker yet. Its random numbers are derived from seed.
func NewRandom(settings dispatch.Settings, seed uint64) *Random {
	p := &Random{
		settings: settings,
		rng:      rand.New(rand.NewPCG(seed, randomStream)),
		classes:  map[string]dispatch.Class{},
		states:   map[string]dispatch.EndpointState{},
		requests: map[dispatch.RequestID]*request{},
	}
	for _, class := range settings.Classes {
		p.classes[class.Name] = class
	}
	return p
}

// Step implements router.Dispatcher.
func (p *Random) Step(now time.Duration, events []dispatch.Event) (actions []dispatch.Action) {
	for _, event := range events {
		switch event := event.(type) {
		case dispatch.EndpointUpdate:
			p.updateEndpoints(event)
		case dispatch.Request:
			r := &request{class: p.classes[event.Class], deadline: now + event.RemainingDeadline}
			p.requests[event.ID] = r
			p.arrivals = append(p.arrivals, event.ID)
			actions = p.startAttempt(actions, event.ID, r)
		case dispatch.ResponseStarted:
			if r := p.requests[event.ID]; r != nil {
				r.responseStarted = true
			}
		case dispatch.AttemptEnded:
			actions = p.attemptEnded(now, actions, event)
		case dispatch.RequestCancelled:
			delete(p.requests, event.ID)
		}
	}
	return p.expireRequests(now, actions)
}

// expireRequests answers the requests that are past their deadline and sets a timer for the next deadline.
func (p *Random) expireRequests(now time.Duration, actions []dispatch.Action) []dispatch.Action {
	next := now + maxTimer
	p.arrivals = slices.DeleteFunc(p.arrivals, func(id dispatch.RequestID) bool {
		r := p.requests[id]
		if r == nil {
			return true
		}
		if now < r.deadline {
			next = min(next, r.deadline)
			return false
		}
		actions = p.answerWithoutResponse(actions, id, r)
		return true
	})
	return append(actions, dispatch.SetTimer{After: max(next-now, minTimer)})
}

func (p *Random) updateEndpoints(update dispatch.EndpointUpdate) {
	if update.Snapshot {
		clear(p.states)
	}
	for _, endpoint := range update.Endpoints {
		p.states[endpoint.ID] = endpoint.State
	}
	p.active = p.active[:0]
	for id, state := range p.states {
		if state == dispatch.EndpointActive {
			p.active = append(p.active, id)
		}
	}
	slices.Sort(p.active)
}

// startAttempt starts an attempt on a random worker, or answers the request if no worker is active or its attempts
// are used up.
func (p *Random) startAttempt(actions []dispatch.Action, id dispatch.RequestID, r *request) []dispatch.Action {
	if len(p.active) == 0 || r.attempts >= p.settings.MaxAttempts {
		return p.answerWithoutResponse(actions, id, r)
	}
	r.attempts++
	r.attemptsInFlight++
	return append(actions, dispatch.StartAttempt{ID: id, Worker: p.active[p.rng.IntN(len(p.active))]})
}

func (p *Random) attemptEnded(now time.Duration, actions []dispatch.Action, event dispatch.AttemptEnded) []dispatch.Action {
	r := p.requests[event.ID]
	if r == nil {
		return actions
	}
	r.attemptsInFlight--
	if event.Final {
		delete(p.requests, event.ID)
		return actions
	}
	r.mayHaveRun = r.mayHaveRun || !provesNotRun(event.Result)
	if now < r.deadline && !r.responseStarted && (!r.mayHaveRun || r.class.Idempotency == dispatch.Idempotent) {
		return p.startAttempt(actions, event.ID, r)
	}
	return p.answerWithoutResponse(actions, event.ID, r)
}

// provesNotRun reports whether a result proves that the attempt never ran.
func provesNotRun(result dispatch.Result) bool {
	switch result {
	case dispatch.Rejected, dispatch.ConnectFailed, dispatch.NotResident, dispatch.NotSent:
		return true
	case dispatch.OK, dispatch.Errored, dispatch.TimedOut, dispatch.ConnectionReset, dispatch.Cancelled:
		return false // it ran, or may have
	}
	return false
}

// answerWithoutResponse gives a request a final answer without a response: a failure if it may have run and must not
// run twice, or if its response has started; otherwise a rejection.
func (p *Random) answerWithoutResponse(actions []dispatch.Action, id dispatch.RequestID, r *request) []dispatch.Action {
	delete(p.requests, id)
	if r.responseStarted || r.class.Idempotency != dispatch.Idempotent && (r.mayHaveRun || r.attemptsInFlight > 0) {
		return append(actions, dispatch.FailRequest{ID: id})
	}
	return append(actions, dispatch.RejectRequest{ID: id, RetryAfter: rejectRetryAfter})
}
