package soak

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/topazfront/topazfront/internal/fake/fakeplatform"
	"github.com/topazfront/topazfront/internal/invariants"
)

const (
	removedTime     = 1200 * time.Millisecond // from a worker's removal until it comes back
	resetInterval   = 300 * time.Millisecond  // between the resets of a worker that resets its connections
	reloads         = 4
	reloadInterval  = 60 * time.Millisecond
	signalInterval  = 150 * time.Millisecond // between further signals to a router that ends
	crowdSize       = 300                    // connections
	clockStep       = time.Hour
	restartDelay    = 300 * time.Millisecond // from a router's end to its next start
	quietBeforeKill = 60 * time.Millisecond  // longer than crossedClose: what clients sent before is owed
)

// run is a run of a schedule under way.
type run struct {
	schedule Schedule
	platform *platform
	nodes    []*node
	clients  []*client
	traffic  []*traffic

	mu        sync.Mutex
	intervals []interval // of the faults carried out so far
	errs      []error
}

// interval is a fault and when it truly began and ended, since the start of the records.
type interval struct {
	Fault
	from, to time.Duration // to is 0 while it lasts
}

// playFaults carries out all faults at their times and returns when the last has ended.
func (r *run) playFaults(startedAt time.Time, stop <-chan struct{}) {
	var playing sync.WaitGroup
	for _, fault := range r.schedule.Faults {
		playing.Go(func() {
			select {
			case <-time.After(time.Until(startedAt.Add(fault.At))):
				r.play(fault)
			case <-stop:
			}
		})
	}
	playing.Wait()
}

// play carries out one fault from its begin to its end.
func (r *run) play(fault Fault) {
	index := r.begin(fault)
	r.end(index, players[fault.Kind](r, fault))
}

// players carry out each kind of fault from its begin to its end.
var players = map[FaultKind]func(*run, Fault) error{
	DiscoveryRefused:   (*run).playDiscovery,
	DiscoverySilent:    (*run).playDiscovery,
	DiscoverySlow:      (*run).playDiscovery,
	DiscoveryCut:       (*run).playDiscovery,
	DiscoveryGarbage:   (*run).playDiscovery,
	DiscoveryCrowded:   (*run).playDiscovery,
	DiscoveryMoved:     (*run).moveDiscovery,
	DiscoveryRestarted: (*run).restartDiscovery,
	WorkerDrained:      (*run).drainWorker,
	WorkerReplaced:     (*run).drainWorker,
	WorkerKilled:       (*run).killWorker,
	WorkerHung:         misbehave(answersNoCalls),
	WorkerVanished:     misbehave(answersNothing),
	WorkerSlow:         misbehave(answersSlowly),
	WorkerResets:       (*run).resetWorkerConns,
	ClockStepped:       (*run).stepClock,
	RouterTerminated:   (*run).terminateRouter,
	RouterKilled:       (*run).killRouter,
	RouterStopped:      (*run).stopRouter,
	RouterReloaded:     (*run).reloadRouter,
	ConnectionCrowd:    (*run).crowd,
	TrafficBurst:       changeTraffic(func(t *traffic, on bool) { t.burst.Store(on) }),
	ClientsLeave:       changeTraffic(func(t *traffic, on bool) { t.leaving.Store(on) }),
}

// begin notes that a fault begins.
func (r *run) begin(fault Fault) (index int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.intervals = append(r.intervals, interval{Fault: fault, from: r.platform.records.Now()})
	return len(r.intervals) - 1
}

// end notes that a fault has ended. An error says that it could not be carried out.
func (r *run) end(index int, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.intervals[index].to = r.platform.records.Now()
	if err != nil {
		r.errs = append(r.errs, fmt.Errorf("%v: %w", r.intervals[index].Fault, err))
	}
}

// playDiscovery has all discovery servers misbehave for a while.
func (r *run) playDiscovery(fault Fault) error {
	for _, server := range r.platform.discovery {
		server.beginFault(fault.Kind)
	}
	time.Sleep(fault.Duration)
	var errs []error
	for _, server := range r.platform.discovery {
		errs = append(errs, server.endFault(fault.Kind))
	}
	return errors.Join(errs...)
}

// moveDiscovery moves all discovery servers to other addresses, which the routers get by SIGHUP.
func (r *run) moveDiscovery(Fault) error {
	if err := r.platform.move(); err != nil {
		return err
	}
	var errs []error
	for _, n := range r.nodes {
		errs = append(errs, n.reload())
	}
	return errors.Join(errs...)
}

// restartDiscovery has all discovery servers forget their events.
func (r *run) restartDiscovery(Fault) error { return r.platform.restartDiscovery() }

// drainWorker has a worker drain and end, and starts it again, or another in its place.
func (r *run) drainWorker(fault Fault) error {
	worker := r.platform.worker(fault.Target)
	r.platform.drain(fault.Target)
	time.Sleep(fault.Duration)
	r.platform.setState(fault.Target, stateRemoved)
	worker.stop()
	time.Sleep(removedTime)
	id := worker.id
	if fault.Kind == WorkerReplaced {
		id = r.platform.replacementID(fault.Target)
	}
	return r.platform.startAgain(fault.Target, id)
}

// killWorker ends a worker's process and starts it again.
func (r *run) killWorker(fault Fault) error {
	worker := r.platform.worker(fault.Target)
	r.platform.setState(fault.Target, stateRemoved)
	worker.stop()
	time.Sleep(fault.Duration)
	return r.platform.startAgain(fault.Target, worker.id)
}

// misbehave returns what has a worker behave differently for a while.
func misbehave(b behaviour) func(*run, Fault) error {
	return func(r *run, fault Fault) error {
		worker := r.platform.worker(fault.Target)
		worker.setBehaviour(b)
		time.Sleep(fault.Duration)
		worker.setBehaviour(behavesWell)
		return nil
	}
}

// resetWorkerConns resets all connections to a worker several times.
func (r *run) resetWorkerConns(fault Fault) error {
	worker := r.platform.worker(fault.Target)
	for end := time.Now().Add(fault.Duration); time.Now().Before(end); time.Sleep(resetInterval) {
		worker.failConns(fakeplatform.ResetConn)
	}
	return nil
}

// terminateRouter plays a planned restart: SIGTERM, then SIGKILL as early as it may come. Clients send on new connections
// for a while and on open ones until right before SIGKILL.
func (r *run) terminateRouter(fault Fault) error {
	n := r.nodes[fault.Target]
	c := r.clients[fault.Target]
	ended := n.expectEnd()
	n.signal(syscall.SIGTERM)
	killAt := time.Now().Add(min(r.schedule.Settings.Deadline, maxSIGKILLWait) + sigkillGrace)
	time.Sleep(newConnsUntil)
	c.setOldOnly(true)
	for time.Until(killAt) > quietBeforeKill+signalInterval {
		time.Sleep(signalInterval)
		n.signal(syscall.SIGHUP)
		n.signal(syscall.SIGTERM)
	}
	time.Sleep(time.Until(killAt) - quietBeforeKill)
	c.setPaused(true)
	time.Sleep(time.Until(killAt))
	n.signal(syscall.SIGKILL)
	<-ended
	return r.restartRouter(n, c)
}

// killRouter plays the sudden end of a router, and its next start.
func (r *run) killRouter(fault Fault) error {
	n := r.nodes[fault.Target]
	c := r.clients[fault.Target]
	c.setKilled(true)
	r.platform.records.Add(invariants.Record{Kind: invariants.RouterKilled, Router: routerName(n.router)})
	n.kill()
	time.Sleep(restartDelay)
	return r.restartRouter(n, c)
}

// restartRouter starts a router anew and lets clients call it. It gets the list as it is now.
func (r *run) restartRouter(n *node, c *client) error {
	c.closeIdle()
	r.platform.records.Add(invariants.Record{Kind: invariants.RouterStarted, Router: routerName(n.router)})
	if err := n.start(); err != nil {
		return err
	}
	c.setKilled(false)
	c.setOldOnly(false)
	return nil
}

// stepClock steps the clock by which start times in the endpoint list are told, to and fro by the fault's target.
func (r *run) stepClock(fault Fault) error {
	step := clockStep
	if fault.Target%2 == 1 {
		step = -step
	}
	r.platform.stepClock(step)
	return nil
}

// crowd opens connections to a router that send nothing or the beginning of a request, and closes them after a while.
func (r *run) crowd(fault Fault) error {
	var conns []net.Conn
	for i := range crowdSize {
		conn, err := net.DialTimeout("tcp", r.clients[fault.Target].address, dialTimeout)
		if err != nil {
			continue // the router accepts no more
		}
		if i%2 == 1 {
			_, _ = io.WriteString(conn, "POST /call/")
		}
		conns = append(conns, conn)
	}
	time.Sleep(fault.Duration)
	for _, conn := range conns {
		_ = conn.Close()
	}
	return nil
}

// stopRouter stops a router's process for a while.
func (r *run) stopRouter(fault Fault) error {
	n := r.nodes[fault.Target]
	n.signal(syscall.SIGSTOP)
	time.Sleep(fault.Duration)
	n.signal(syscall.SIGCONT)
	return nil
}

// reloadRouter has a router reload its configuration several times in a row.
func (r *run) reloadRouter(fault Fault) error {
	for range reloads {
		if err := r.nodes[fault.Target].reload(); err != nil {
			return err
		}
		time.Sleep(reloadInterval)
	}
	return nil
}

// changeTraffic returns what changes the traffic of all routers for a while.
func changeTraffic(set func(t *traffic, on bool)) func(*run, Fault) error {
	return func(r *run, fault Fault) error {
		for _, t := range r.traffic {
			set(t, true)
		}
		time.Sleep(fault.Duration)
		for _, t := range r.traffic {
			set(t, false)
		}
		return nil
	}
}
