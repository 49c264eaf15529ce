package scenario

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/topazfront/topazfront/internal/fake/fakeclient"
	"github.com/topazfront/topazfront/internal/invariants"
)

// Range and precision of the histograms of response times.
const (
	maxLatencyMicros = 60_000_000
	latencyDigits    = 3
)

// statistics counts the results of requests. It is safe for concurrent use.
type statistics struct {
	mu      sync.Mutex
	classes map[string]*classStatistics
	pending int
	idle    chan struct{} // holds an element if no request is pending; it may be outdated
}

type classStatistics struct {
	requests, onTime, late, rejected, failed, unanswered int
	calls, messages                                      int
	latency                                              *hdrhistogram.Histogram // of served requests, in microseconds
}

func newStatistics(s *Scenario) *statistics {
	st := &statistics{classes: map[string]*classStatistics{}, idle: make(chan struct{}, 1)}
	for _, c := range s.Classes {
		st.classes[c.Name] = &classStatistics{latency: hdrhistogram.New(1, maxLatencyMicros, latencyDigits)}
	}
	return st
}

func (s *statistics) requestStarted(class string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.classes[class].requests++
	s.pending++
}

// requestEnded counts a request by the result of its last call.
func (s *statistics) requestEnded(c *Class, result fakeclient.Result, elapsed time.Duration, calls int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	class := s.classes[c.Name]
	class.calls += calls
	class.messages += result.Messages
	switch {
	case !result.Answered:
		class.unanswered++
	case result.Answer == invariants.Served && elapsed <= c.LatencyObjective.Duration():
		class.onTime++
	case result.Answer == invariants.Served:
		class.late++
	case result.Answer == invariants.Rejected:
		class.rejected++
	default:
		class.failed++
	}
	if result.Answered && result.Answer == invariants.Served {
		// An error means that the value is above maxLatencyMicros, which no deadline in the embedded scenarios reaches.
		_ = class.latency.RecordValue(elapsed.Microseconds())
	}
	if s.pending--; s.pending == 0 {
		select {
		case s.idle <- struct{}{}:
		default:
		}
	}
}

// waitUntilIdle returns when no request is pending, or after the timeout.
func (s *statistics) waitUntilIdle(timeout time.Duration) {
	timedOut := time.After(timeout)
	for {
		s.mu.Lock()
		pending := s.pending
		s.mu.Unlock()
		if pending == 0 {
			return
		}
		select {
		case <-s.idle:
		case <-timedOut:
			return
		}
	}
}

// addTo adds the counts to a progress report.
func (s *statistics) addTo(p *Progress) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.classes {
		p.Sent += c.requests
		p.Served += c.onTime + c.late
		p.Rejected += c.rejected
		p.Failed += c.failed + c.unanswered
	}
	p.Pending = s.pending
}
