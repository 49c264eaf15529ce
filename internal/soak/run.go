package soak

import (
	"errors"
	"os"
	"os/exec"
	"sync"
	"sync/atomic"
	"time"

	"github.com/topazfront/topazfront/internal/invariants"
)

const (
	stallInterval = 5 * time.Millisecond
	baseSlack     = 100 * time.Millisecond // between a message's send and its record, on a machine that is not busy
)

// Options are what a run needs beside its schedule.
type Options struct {
	// NodeCommand returns the command that runs a router by a configuration file. It logs to standard error.
	NodeCommand func(configPath string) *exec.Cmd
}

// Report is what came of a run.
type Report struct {
	Schedule    Schedule
	Failures    []string // one line each; none: passed
	ServedShare float64  // share of the calls
	Calls       int
	Slack       time.Duration // allowed between sending and recording: the longest stall of the machine on top of the usual
	Timeline    []string      // around the first violation; nil if there is none
}

// Passed reports whether all rules were kept and enough was served.
func (r *Report) Passed() bool { return len(r.Failures) == 0 }

// Run plays a schedule. An error means that the machine did not let it: nothing is said of the routers.
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
		c := &client{router: router, address: p.block.router(router), records: p.records, slack: stalls.slack, answered: map[int]int{}}
		r.clients = append(r.clients, c)
		r.traffic = append(r.traffic, &traffic{schedule: s, client: c})
	}
	defer r.killAll()
	if err := r.startAll(); err != nil {
		return nil, err
	}
	r.playAll()
	return r.report(stalls.slack())
}

// startAll starts all routers at once.
func (r *run) startAll() error {
	errs := make([]error, len(r.nodes))
	var starting sync.WaitGroup
	for i, n := range r.nodes {
		starting.Go(func() { errs[i] = n.start() })
	}
	starting.Wait()
	return errors.Join(errs...)
}

// playAll plays traffic and faults, and returns when both have ended.
func (r *run) playAll() {
	stop := make(chan struct{})
	startedAt := time.Now()
	var playing sync.WaitGroup
	playing.Go(func() { r.playFaults(startedAt, stop) })
	for _, t := range r.traffic {
		playing.Go(func() { t.run(stop) })
	}
	playing.Wait()
	close(stop)
}

// killAll ends all routers.
func (r *run) killAll() {
	for _, n := range r.nodes {
		if n.process == nil {
			continue
		}
		n.kill()
		n.processes.Wait()
	}
}

// report judges the run.
func (r *run) report(slack time.Duration) (*Report, error) {
	if err := errors.Join(r.errs...); err != nil {
		return nil, err
	}
	records, violations := r.judge(slack)
	share, calls := servedShare(records)
	report := &Report{Schedule: r.schedule, ServedShare: share, Calls: calls, Slack: slack, Failures: r.failures(violations, share, slack)}
	if len(violations) > 0 {
		report.Timeline = r.timeline(records, violations[0])
	}
	return report, nil
}

// stallMeter measures how long goroutines of this process have to wait for a processor.
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
		case <-time.After(stallInterval):
		}
		stall := time.Since(sleptAt) - stallInterval
		m.longest.Store(max(m.longest.Load(), int64(stall)))
	}
}

// slack is what the machine may have delayed a record by.
func (m *stallMeter) slack() time.Duration { return baseSlack + time.Duration(m.longest.Load()) }

func (m *stallMeter) stop() { close(m.ended) }

// timelineSpan is how much before and after a violation its timeline shows.
const timelineSpan = 1500 * time.Millisecond

// isCallRecord reports whether a record belongs to a call.
func isCallRecord(kind invariants.RecordKind) bool {
	switch kind {
	case invariants.CallSent, invariants.FinalAnswer, invariants.CallAbandoned, invariants.AttemptReceived, invariants.RunStarted:
		return true
	case invariants.LoadCommandReceived, invariants.EndpointNotified, invariants.WorkerDraining, invariants.WorkerReady,
		invariants.WorkerStarted, invariants.WorkerOverloaded, invariants.RouterKilled, invariants.RouterStarted:
		return false
	}
	return false
}
