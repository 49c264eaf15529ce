// Package baseline holds plain policies behind the module's events, to be measured against. They are no
// candidates for service.
package baseline

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/topazfront/topazfront/dispatch"
)

// Random sends each request to a worker drawn at random from those that the list has on, and again to
// another while no earlier attempt can have run. It keeps deadlines and drains and knows nothing else.
type Random struct {
	set     dispatch.Settings
	rng     *rand.Rand
	classes map[string]dispatch.Class
	workers []string
	states  map[string]dispatch.EndpointState
	reqs    map[dispatch.RequestID]*held
	order   []dispatch.RequestID // by arrival, to look for what is due
}

type held struct {
	class    dispatch.Class
	deadline time.Duration
	tries    int
	out      int
	mayRun   bool
	began    bool
}

// NewRandom returns the policy.
func NewRandom(s dispatch.Settings, seed uint64) *Random {
	p := &Random{set: s, rng: rand.New(rand.NewPCG(seed, 9)), classes: map[string]dispatch.Class{},
		states: map[string]dispatch.EndpointState{}, reqs: map[dispatch.RequestID]*held{}}
	for _, c := range s.Classes {
		p.classes[c.Name] = c
	}
	return p
}

// Step implements the router's Decider.
func (p *Random) Step(now time.Duration, events []dispatch.Event) (out []dispatch.Action) {
	for _, e := range events {
		switch e := e.(type) {
		case dispatch.EndpointUpdate:
			p.follow(e)
		case dispatch.Request:
			r := &held{class: p.classes[e.Class], deadline: now + e.RemainingDeadline}
			p.reqs[e.ID] = r
			p.order = append(p.order, e.ID)
			out = p.send(out, e.ID, r)
		case dispatch.ResponseStarted:
			if r := p.reqs[e.ID]; r != nil {
				r.began = true
			}
		case dispatch.AttemptEnded:
			out = p.ended(now, out, e)
		case dispatch.RequestCancelled:
			delete(p.reqs, e.ID)
		}
	}
	next := now + time.Second
	p.order = slices.DeleteFunc(p.order, func(id dispatch.RequestID) bool {
		r := p.reqs[id]
		if r == nil {
			return true
		}
		if now < r.deadline {
			next = min(next, r.deadline)
			return false
		}
		out = p.conclude(out, id, r)
		return true
	})
	return append(out, dispatch.SetTimer{After: max(next-now, time.Millisecond)})
}

func (p *Random) follow(e dispatch.EndpointUpdate) {
	if e.Snapshot {
		clear(p.states)
	}
	for _, m := range e.Endpoints {
		p.states[m.ID] = m.State
	}
	p.workers = p.workers[:0]
	for id, s := range p.states {
		if s == dispatch.EndpointActive {
			p.workers = append(p.workers, id)
		}
	}
	slices.Sort(p.workers)
}

func (p *Random) send(out []dispatch.Action, id dispatch.RequestID, r *held) []dispatch.Action {
	if len(p.workers) == 0 || r.tries >= p.set.MaxAttempts {
		return p.conclude(out, id, r)
	}
	r.tries++
	r.out++
	return append(out, dispatch.StartAttempt{ID: id, Worker: p.workers[p.rng.IntN(len(p.workers))]})
}

func (p *Random) ended(now time.Duration, out []dispatch.Action, e dispatch.AttemptEnded) []dispatch.Action {
	r := p.reqs[e.ID]
	if r == nil {
		return out
	}
	r.out--
	if e.Final {
		delete(p.reqs, e.ID)
		return out
	}
	never := e.Result == dispatch.Rejected || e.Result == dispatch.ConnectFailed || e.Result == dispatch.NotResident ||
		e.Result == dispatch.NotSent
	r.mayRun = r.mayRun || !never
	if now < r.deadline && !r.began && (!r.mayRun || r.class.Idempotency == dispatch.Idempotent) {
		return p.send(out, e.ID, r)
	}
	return p.conclude(out, e.ID, r)
}

func (p *Random) conclude(out []dispatch.Action, id dispatch.RequestID, r *held) []dispatch.Action {
	delete(p.reqs, id)
	if r.began || r.class.Idempotency != dispatch.Idempotent && (r.mayRun || r.out > 0) {
		return append(out, dispatch.FailRequest{ID: id})
	}
	return append(out, dispatch.RejectRequest{ID: id, RetryAfter: 100 * time.Millisecond})
}
