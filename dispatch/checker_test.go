package dispatch

import (
	"fmt"
	"slices"
	"time"
)

// checker watches a transcript for the five rules. It keeps its own account from events and actions alone.
type checker struct {
	settings      Settings
	requests      map[RequestID]*checkedRequest
	drainingSince map[string]time.Duration // when a worker was last told to be draining or gone
	endpoints     map[string]Endpoint
	requestTimes  []time.Duration
	loadTimes     []time.Duration
}

type checkedRequest struct {
	class     Class
	deadline  time.Duration
	done      bool
	streaming bool // a streamed response has begun
	attempts  []checkedAttempt
}

type checkedAttempt struct {
	worker     Endpoint
	startedAt  time.Duration
	open       bool
	mayHaveRun bool
}

func newChecker(s Settings) *checker {
	return &checker{settings: s, requests: map[RequestID]*checkedRequest{}, drainingSince: map[string]time.Duration{},
		endpoints: map[string]Endpoint{}}
}

func (c *checker) step(now time.Duration, events []Event, actions []Action) error {
	for _, e := range events {
		c.recordEvent(now, e)
	}
	for _, a := range actions {
		if err := c.checkAction(now, a); err != nil {
			return fmt.Errorf("at %v: %w", now, err)
		}
	}
	for id, q := range c.requests {
		if !q.done && now > q.deadline+c.settings.ResponseGrace {
			return fmt.Errorf("at %v: request %d has no final answer", now, id)
		}
	}
	return nil
}

func (c *checker) recordEvent(now time.Duration, e Event) {
	switch e := e.(type) {
	case Request:
		q := &checkedRequest{class: Class{Idempotency: NonIdempotent}, deadline: now + max(e.RemainingDeadline, 0)}
		for _, cl := range c.settings.Classes {
			if cl.Name == e.Class {
				q.class = cl
			}
		}
		c.requests[e.ID] = q
		c.requestTimes = append(c.requestTimes, now)
	case AttemptEnded:
		if q := c.requests[e.ID]; q != nil && e.Attempt >= 0 && e.Attempt < len(q.attempts) {
			t := &q.attempts[e.Attempt]
			t.open = false
			t.mayHaveRun = e.Result == OK || e.Result == Errored || e.Result == TimedOut || e.Result == ConnectionReset ||
				e.Result == Cancelled
			q.done = q.done || e.Final
		}
	case ResponseStarted:
		if q := c.requests[e.ID]; q != nil && !q.done && e.Attempt >= 0 && e.Attempt < len(q.attempts) {
			q.streaming = q.streaming || q.attempts[e.Attempt].open
		}
	case RequestCancelled:
		if q := c.requests[e.ID]; q != nil {
			q.done = true
		}
	case ShutdownStarted:
		for _, q := range c.requests {
			q.deadline = min(q.deadline, now+e.AnswerWithin)
		}
	case EndpointUpdate:
		in := map[string]bool{}
		for _, m := range e.Endpoints {
			in[m.ID] = true
			c.endpoints[m.ID] = m
			if m.State == EndpointActive {
				delete(c.drainingSince, m.ID)
			} else if _, ok := c.drainingSince[m.ID]; !ok {
				c.drainingSince[m.ID] = now
			}
		}
		for id := range c.endpoints {
			if _, ok := c.drainingSince[id]; e.Snapshot && !in[id] && !ok {
				c.drainingSince[id] = now
			}
		}
	}
}

func (c *checker) checkAction(now time.Duration, a Action) error {
	drained := func(id string) bool {
		at, ok := c.drainingSince[id]
		return ok && now > at+c.settings.DrainGrace
	}
	switch a := a.(type) {
	case StartAttempt:
		q := c.requests[a.ID]
		switch {
		case q == nil || q.done:
			return fmt.Errorf("request %d sent after its end", a.ID)
		case q.streaming:
			return fmt.Errorf("request %d sent after its response began", a.ID)
		case drained(a.Worker):
			return fmt.Errorf("sent to %s, which drains", a.Worker)
		case len(q.attempts) >= c.settings.MaxAttempts:
			return fmt.Errorf("request %d: too many attempts", a.ID)
		}
		w := c.endpoints[a.Worker]
		for _, t := range q.attempts {
			if t.open && !c.settings.HedgingAllowed {
				return fmt.Errorf("request %d has two attempts out", a.ID)
			}
			if !t.open && !t.mayHaveRun || q.class.Idempotency == Idempotent {
				continue
			}
			group := q.class.DeduplicationScope == ScopeAll || q.class.DeduplicationScope == ScopeZone && t.worker.Zone == w.Zone ||
				q.class.DeduplicationScope == ScopeCell && t.worker.Cell == w.Cell
			if q.class.Idempotency == NonIdempotent || !group || now > t.startedAt+q.class.DeduplicationWindow {
				return fmt.Errorf("request %d may run twice", a.ID)
			}
		}
		q.attempts = append(q.attempts, checkedAttempt{worker: w, startedAt: now, open: true})
	case RejectRequest:
		q := c.requests[a.ID]
		if q == nil || q.done {
			return fmt.Errorf("request %d refused after its end", a.ID)
		}
		if q.streaming {
			return fmt.Errorf("request %d refused after its response began", a.ID)
		}
		for _, t := range q.attempts {
			if (t.open || t.mayHaveRun) && (q.class.Idempotency == NonIdempotent || q.class.Idempotency == IdempotentByKey && q.class.DeduplicationScope != ScopeAll) {
				return fmt.Errorf("request %d refused though it may have run", a.ID)
			}
		}
		q.done = true
	case FailRequest:
		q := c.requests[a.ID]
		if q == nil || q.done {
			return fmt.Errorf("request %d failed after its end", a.ID)
		}
		if open := slices.ContainsFunc(q.attempts, func(t checkedAttempt) bool { return t.open }); open && q.streaming && now < q.deadline {
			return fmt.Errorf("request %d failed before its deadline, with its response begun", a.ID)
		}
		q.done = true
	case CancelAttempt:
		if q := c.requests[a.ID]; q != nil && q.streaming && !q.done {
			return fmt.Errorf("request %d: attempt cancelled with the response begun", a.ID)
		}
	case LoadFunction:
		if a.Copies > 0 && drained(a.Worker) {
			return fmt.Errorf("load ordered at %s, which drains", a.Worker)
		}
		if a.Copies > 0 && c.settings.LoadRateWindow > 0 {
			c.loadTimes = append(c.loadTimes, now)
			limit := c.settings.LoadRateBurst + c.settings.LoadRateRatio*float64(countSince(c.requestTimes, now-c.settings.LoadRateWindow))
			if n := countSince(c.loadTimes, now-c.settings.LoadRateWindow); float64(n) > limit {
				return fmt.Errorf("%d load orders, at most %v", n, limit)
			}
		}
	}
	return nil
}

func countSince(times []time.Duration, from time.Duration) (n int) {
	for _, t := range times {
		if t >= from {
			n++
		}
	}
	return n
}
