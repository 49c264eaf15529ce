package dispatch

import (
	"fmt"
	"slices"
	"time"
)

// checker watches a transcript for the five rules. It keeps its own account from events and actions alone.
type checker struct {
	s      Settings
	live   map[RequestID]*checked
	told   map[string]time.Duration // when a worker was last told to be draining or gone
	known  map[string]Endpoint
	came   []time.Duration
	orders []time.Duration
}

type checked struct {
	class    Class
	deadline time.Duration
	done     bool
	began    bool // a streamed response has begun
	tries    []try
}

type try struct {
	worker Endpoint
	at     time.Duration
	open   bool
	ran    bool
}

func newChecker(s Settings) *checker {
	return &checker{s: s, live: map[RequestID]*checked{}, told: map[string]time.Duration{},
		known: map[string]Endpoint{}}
}

func (c *checker) step(now time.Duration, events []Event, actions []Action) error {
	for _, e := range events {
		c.see(now, e)
	}
	for _, a := range actions {
		if err := c.judge(now, a); err != nil {
			return fmt.Errorf("at %v: %w", now, err)
		}
	}
	for id, q := range c.live {
		if !q.done && now > q.deadline+c.s.ResponseGrace {
			return fmt.Errorf("at %v: request %d has no final answer", now, id)
		}
	}
	return nil
}

func (c *checker) see(now time.Duration, e Event) {
	switch e := e.(type) {
	case Request:
		q := &checked{class: Class{Idempotency: NonIdempotent}, deadline: now + max(e.RemainingDeadline, 0)}
		for _, cl := range c.s.Classes {
			if cl.Name == e.Class {
				q.class = cl
			}
		}
		c.live[e.ID] = q
		c.came = append(c.came, now)
	case AttemptEnded:
		if q := c.live[e.ID]; q != nil && e.Attempt >= 0 && e.Attempt < len(q.tries) {
			t := &q.tries[e.Attempt]
			t.open = false
			t.ran = e.Result == OK || e.Result == Errored || e.Result == TimedOut || e.Result == ConnectionReset ||
				e.Result == Cancelled
			q.done = q.done || e.Final
		}
	case ResponseStarted:
		if q := c.live[e.ID]; q != nil && !q.done && e.Attempt >= 0 && e.Attempt < len(q.tries) {
			q.began = q.began || q.tries[e.Attempt].open
		}
	case RequestCancelled:
		if q := c.live[e.ID]; q != nil {
			q.done = true
		}
	case ShutdownStarted:
		for _, q := range c.live {
			q.deadline = min(q.deadline, now+e.AnswerWithin)
		}
	case EndpointUpdate:
		in := map[string]bool{}
		for _, m := range e.Endpoints {
			in[m.ID] = true
			c.known[m.ID] = m
			if m.State == EndpointActive {
				delete(c.told, m.ID)
			} else if _, ok := c.told[m.ID]; !ok {
				c.told[m.ID] = now
			}
		}
		for id := range c.known {
			if _, ok := c.told[id]; e.Snapshot && !in[id] && !ok {
				c.told[id] = now
			}
		}
	}
}

func (c *checker) judge(now time.Duration, a Action) error {
	drained := func(id string) bool {
		at, ok := c.told[id]
		return ok && now > at+c.s.DrainGrace
	}
	switch a := a.(type) {
	case StartAttempt:
		q := c.live[a.ID]
		switch {
		case q == nil || q.done:
			return fmt.Errorf("request %d sent after its end", a.ID)
		case q.began:
			return fmt.Errorf("request %d sent after its response began", a.ID)
		case drained(a.Worker):
			return fmt.Errorf("sent to %s, which drains", a.Worker)
		case len(q.tries) >= c.s.MaxAttempts:
			return fmt.Errorf("request %d: too many attempts", a.ID)
		}
		w := c.known[a.Worker]
		for _, t := range q.tries {
			if t.open && !c.s.HedgingAllowed {
				return fmt.Errorf("request %d has two attempts out", a.ID)
			}
			if !t.open && !t.ran || q.class.Idempotency == Idempotent {
				continue
			}
			group := q.class.DeduplicationScope == ScopeAll || q.class.DeduplicationScope == ScopeZone && t.worker.Zone == w.Zone ||
				q.class.DeduplicationScope == ScopeCell && t.worker.Cell == w.Cell
			if q.class.Idempotency == NonIdempotent || !group || now > t.at+q.class.DeduplicationWindow {
				return fmt.Errorf("request %d may run twice", a.ID)
			}
		}
		q.tries = append(q.tries, try{worker: w, at: now, open: true})
	case RejectRequest:
		q := c.live[a.ID]
		if q == nil || q.done {
			return fmt.Errorf("request %d refused after its end", a.ID)
		}
		if q.began {
			return fmt.Errorf("request %d refused after its response began", a.ID)
		}
		for _, t := range q.tries {
			if (t.open || t.ran) && (q.class.Idempotency == NonIdempotent || q.class.Idempotency == IdempotentByKey && q.class.DeduplicationScope != ScopeAll) {
				return fmt.Errorf("request %d refused though it may have run", a.ID)
			}
		}
		q.done = true
	case FailRequest:
		q := c.live[a.ID]
		if q == nil || q.done {
			return fmt.Errorf("request %d failed after its end", a.ID)
		}
		if open := slices.ContainsFunc(q.tries, func(t try) bool { return t.open }); open && q.began && now < q.deadline {
			return fmt.Errorf("request %d failed before its deadline, with its response begun", a.ID)
		}
		q.done = true
	case CancelAttempt:
		if q := c.live[a.ID]; q != nil && q.began && !q.done {
			return fmt.Errorf("request %d: attempt cancelled with the response begun", a.ID)
		}
	case LoadFunction:
		if a.Copies > 0 && drained(a.Worker) {
			return fmt.Errorf("load ordered at %s, which drains", a.Worker)
		}
		if a.Copies > 0 && c.s.LoadRateWindow > 0 {
			c.orders = append(c.orders, now)
			limit := c.s.LoadRateBurst + c.s.LoadRateRatio*float64(since(c.came, now-c.s.LoadRateWindow))
			if n := since(c.orders, now-c.s.LoadRateWindow); float64(n) > limit {
				return fmt.Errorf("%d load orders, at most %v", n, limit)
			}
		}
	}
	return nil
}

func since(times []time.Duration, from time.Duration) (n int) {
	for _, t := range times {
		if t >= from {
			n++
		}
	}
	return n
}
