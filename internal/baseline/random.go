// Package baseline holds plain policies behind the module's events, to be measured against. They are no
// candidates for service.
package baseline

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/topazfront/topazfront/brain"
)

// Random sends each request to a worker drawn at random from those that the list has on, and again to
// another while no earlier attempt can have run. It keeps deadlines and drains and knows nothing else.
type Random struct {
	set     brain.Settings
	rng     *rand.Rand
	classes map[string]brain.Class
	workers []string
	states  map[string]brain.State
	reqs    map[brain.RequestID]*held
	order   []brain.RequestID // by arrival, to look for what is due
}

type held struct {
	class    brain.Class
	deadline time.Duration
	tries    int
	out      int
	mayRun   bool
	began    bool
}

// NewRandom returns the policy.
func NewRandom(s brain.Settings, seed uint64) *Random {
	p := &Random{set: s, rng: rand.New(rand.NewPCG(seed, 9)), classes: map[string]brain.Class{},
		states: map[string]brain.State{}, reqs: map[brain.RequestID]*held{}}
	for _, c := range s.Classes {
		p.classes[c.Name] = c
	}
	return p
}

// Step implements the router's Decider.
func (p *Random) Step(now time.Duration, events []brain.Event) (out []brain.Action) {
	for _, e := range events {
		switch e := e.(type) {
		case brain.Roster:
			p.follow(e)
		case brain.Request:
			r := &held{class: p.classes[e.Class], deadline: now + e.Left}
			p.reqs[e.ID] = r
			p.order = append(p.order, e.ID)
			out = p.send(out, e.ID, r)
		case brain.Started:
			if r := p.reqs[e.ID]; r != nil {
				r.began = true
			}
		case brain.Outcome:
			out = p.ended(now, out, e)
		case brain.Dropped:
			delete(p.reqs, e.ID)
		}
	}
	next := now + time.Second
	p.order = slices.DeleteFunc(p.order, func(id brain.RequestID) bool {
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
	return append(out, brain.Wake{After: max(next-now, time.Millisecond)})
}

func (p *Random) follow(e brain.Roster) {
	if e.Whole {
		clear(p.states)
	}
	for _, m := range e.Members {
		p.states[m.ID] = m.State
	}
	p.workers = p.workers[:0]
	for id, s := range p.states {
		if s == brain.On {
			p.workers = append(p.workers, id)
		}
	}
	slices.Sort(p.workers)
}

func (p *Random) send(out []brain.Action, id brain.RequestID, r *held) []brain.Action {
	if len(p.workers) == 0 || r.tries >= p.set.MaxAttempts {
		return p.conclude(out, id, r)
	}
	r.tries++
	r.out++
	return append(out, brain.Send{ID: id, Worker: p.workers[p.rng.IntN(len(p.workers))]})
}

func (p *Random) ended(now time.Duration, out []brain.Action, e brain.Outcome) []brain.Action {
	r := p.reqs[e.ID]
	if r == nil {
		return out
	}
	r.out--
	if e.Final {
		delete(p.reqs, e.ID)
		return out
	}
	never := e.Result == brain.Refused || e.Result == brain.NoConnection || e.Result == brain.Missed ||
		e.Result == brain.NotSent
	r.mayRun = r.mayRun || !never
	if now < r.deadline && !r.began && (!r.mayRun || r.class.Effect == brain.Safe) {
		return p.send(out, e.ID, r)
	}
	return p.conclude(out, e.ID, r)
}

func (p *Random) conclude(out []brain.Action, id brain.RequestID, r *held) []brain.Action {
	delete(p.reqs, id)
	if r.began || r.class.Effect != brain.Safe && (r.mayRun || r.out > 0) {
		return append(out, brain.Fail{ID: id})
	}
	return append(out, brain.Refuse{ID: id, After: 100 * time.Millisecond})
}
