package soak

import (
	"errors"
	"os"
	"os/exec"
	"sync"
	"sync/atomic"
	"time"
)

const (
	stallSampleInterval = 5 * time.Millisecond
	baseSlack           = 100 * time.Millisecond // between sending and recording a message, on an idle machine
)

// Options are the parameters of a run that are not part of its schedule.
type Options struct {
	// NodeCommand returns the command that runs a router with a configuration file. The router logs to standard error.
	NodeCommand func(configPath string) *exec.Cmd
}

// Report is the result of a run.
type Report struct {
	Schedule    Schedule
	Failures    []string // one line each; empty if the run passed
	ServedShare float64  // served calls divided by Calls
	Calls       int      // calls that were not abandoned by their client
	// Slack is the time allowed between sending and recording a message: baseSlack plus the longest stall of the
	// machine.
	Slack    time.Duration
	Timeline []string // events around the first violation; nil if there is none
}

// Passed reports whether the run violated no rule, no router crashed, all responses were as expected, and a sufficient
// share of the calls was served.
func (r *Report) Passed() bool { return len(r.Failures) == 0 }

// run is a schedule that is being executed.
type run struct {
	schedule Schedule
	platform *platform
	nodes    []*node
	clients  []*clientGroup
	traffic  []*traffic

	mu        sync.Mutex
	intervals []interval // of the faults injected so far
	errs      []error
}

// Run executes a schedule. An error means that the run could not be carried out; it says nothing about the routers.
func Run(s Schedule, options Options) (*Report, error) {
	if err := s.validate(); err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "topazfront-soak-")
	if err != nil {
		return nil, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	p, err := startPlatform(s.Routers, s.Workers)
	if err != nil {
		return nil, err
	}
	defer p.close()
	r := &run{schedule: s, platform: p}
	stalls := startStallMeter()
	defer stalls.stop()
	for router := range s.Routers {
		r.nodes = append(r.nodes, newNode(s, p, router, dir, options.NodeCommand))
		c := &clientGroup{router: router, address: p.block.router(router), records: p.records, slack: stalls.slack,
			answersByStatus: map[int]int{}}
		r.clients = append(r.clients, c)
		r.traffic = append(r.traffic, &traffic{schedule: s, clientGroup: c})
	}
	defer r.killAll()
	if err := r.startAll(); err != nil {
		return nil, err
	}
	memory := startMemoryMeter(r.nodes)
	r.runTrafficAndFaults()
	memory.stop()
	report, err := r.report(stalls.slack())
	if report != nil {
		report.Failures = append(report.Failures, memory.failures()...)
	}
	return report, err
}

// startAll starts all routers concurrently and waits until they answer.
func (r *run) startAll() error {
	errs := make([]error, len(r.nodes))
	var starting sync.WaitGroup
	for i, n := range r.nodes {
		starting.Go(func() { errs[i] = n.start() })
	}
	starting.Wait()
	return errors.Join(errs...)
}

// runTrafficAndFaults generates the traffic, injects the faults, and returns when both have ended.
func (r *run) runTrafficAndFaults() {
	stop := make(chan struct{})
	startedAt := time.Now()
	var running sync.WaitGroup
	running.Go(func() { r.injectFaults(startedAt, stop) })
	for _, t := range r.traffic {
		running.Go(func() { t.run(stop) })
	}
	running.Wait()
	close(stop)
}

// killAll kills all routers and waits until their processes have ended.
func (r *run) killAll() {
	for _, n := range r.nodes {
		if n.process == nil {
			continue
		}
		n.kill()
		n.followers.Wait()
	}
}

// report checks the rules and returns the result of the run, or the errors of faults that could not be injected.
func (r *run) report(slack time.Duration) (*Report, error) {
	if err := errors.Join(r.errs...); err != nil {
		return nil, err
	}
	records, violations := r.checkRules(slack)
	share, calls := servedShare(records)
	report := &Report{Schedule: r.schedule, ServedShare: share, Calls: calls, Slack: slack,
		Failures: r.failures(violations, share, slack)}
	if len(violations) > 0 {
		report.Timeline = r.timeline(records, violations[0])
	}
	return report, nil
}

// stallMeter measures the longest time for which a goroutine of this process had to wait for a processor.
type stallMeter struct {
	longest atomic.Int64 // nanoseconds
	ended   chan struct{}
}

func startStallMeter() *stallMeter {
	m := &stallMeter{ended: make(chan struct{})}
	go m.measure()
	return m
}

func (m *stallMeter) measure() {
	for {
		sleptAt := time.Now()
		select {
		case <-m.ended:
			return
		case <-time.After(stallSampleInterval):
		}
		stall := time.Since(sleptAt) - stallSampleInterval
		m.longest.Store(max(m.longest.Load(), int64(stall)))
	}
}

// slack returns the time by which the machine may have delayed a record.
func (m *stallMeter) slack() time.Duration { return baseSlack + time.Duration(m.longest.Load()) }

func (m *stallMeter) stop() { close(m.ended) }
