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
	removalDuration = 1200 * time.Millisecond // time between a worker's removal from the list and its return
	resetInterval   = 300 * time.Millisecond  // between the resets of a worker that resets its connections
	takeoverDelay   = 200 * time.Millisecond  // between a worker's death and another worker at its address
	reloadCount     = 4
	reloadInterval  = 60 * time.Millisecond
	signalInterval  = 150 * time.Millisecond // between further signals to a router that ends
	crowdConnCount  = 300                    // connections of a connection crowd
	clockStep       = time.Hour              // of the clock for start times in the endpoint list
	restartDelay    = 300 * time.Millisecond // from a router's end to its next start

	// quietBeforeKill is how long before a planned SIGKILL clients stop sending. It is longer than crossedCloseWindow,
	// because the router owes an answer to requests that were sent earlier. sendCall extends that window by the slack.
	quietBeforeKill = 60 * time.Millisecond
)

// interval is an injected fault with its actual start and end, since the start of the records.
type interval struct {
	Fault
	from, to time.Duration // to is 0 while the fault lasts
}

// injectFaults injects all faults of the schedule at their times and returns when the last has ended.
func (r *run) injectFaults(startedAt time.Time, stop <-chan struct{}) {
	var injecting sync.WaitGroup
	for _, fault := range r.schedule.Faults {
		injecting.Go(func() {
			select {
			case <-time.After(time.Until(startedAt.Add(fault.At))):
				r.inject(fault)
			case <-stop:
			}
		})
	}
	injecting.Wait()
}

// inject injects one fault and returns when it has ended.
func (r *run) inject(fault Fault) {
	index := r.recordFaultStart(fault)
	r.recordFaultEnd(index, injectors[fault.Kind](r, fault))
}

// injectors holds the function that injects each kind of fault. It returns when the fault has ended.
var injectors = map[FaultKind]func(*run, Fault) error{
	DiscoveryRefused:   (*run).disruptDiscovery,
	DiscoverySilent:    (*run).disruptDiscovery,
	DiscoverySlow:      (*run).disruptDiscovery,
	DiscoveryCut:       (*run).disruptDiscovery,
	DiscoveryGarbage:   (*run).disruptDiscovery,
	DiscoveryCrowded:   (*run).disruptDiscovery,
	DiscoveryMoved:     (*run).moveDiscovery,
	DiscoveryRestarted: (*run).restartDiscovery,
	WorkerDrained:      (*run).drainWorker,
	WorkerReplaced:     (*run).drainWorker,
	WorkerKilled:       (*run).killWorker,
	WorkerMoved:        (*run).moveWorker,
	WorkerHung:         changeBehaviour(ignoresCalls),
	WorkerVanished:     changeBehaviour(ignoresEverything),
	WorkerSlow:         changeBehaviour(answersSlowly),
	WorkerResets:       (*run).resetWorkerConns,
	ClockStepped:       (*run).stepClock,
	RouterTerminated:   (*run).terminateRouter,
	RouterKilled:       (*run).killRouter,
	RouterStopped:      (*run).stopRouter,
	RouterReloaded:     (*run).reloadRouter,
	ConnectionCrowd:    (*run).crowdConnections,
	ConnectionFlood:    (*run).floodConnections,
	WorkerFloods:       (*run).floodFromWorker,
	TrafficBurst:       changeTraffic(func(t *traffic, on bool) { t.burst.Store(on) }),
	ClientsLeave:       changeTraffic(func(t *traffic, on bool) { t.leaving.Store(on) }),
}

// recordFaultStart records that a fault starts, and returns its index in r.intervals.
func (r *run) recordFaultStart(fault Fault) (index int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.intervals = append(r.intervals, interval{Fault: fault, from: r.platform.records.Now()})
	return len(r.intervals) - 1
}

// recordFaultEnd records that a fault has ended. A non-nil err says that the fault could not be injected.
func (r *run) recordFaultEnd(index int, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.intervals[index].to = r.platform.records.Now()
	if err != nil {
		r.errs = append(r.errs, fmt.Errorf("%v: %w", r.intervals[index].Fault, err))
	}
}

// disruptDiscovery makes all discovery servers misbehave for the duration of the fault.
func (r *run) disruptDiscovery(fault Fault) error {
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

// moveDiscovery moves all discovery servers to other addresses and has the routers reload their configuration, which
// names the new address.
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

// restartDiscovery restarts all discovery servers, which lose their events.
func (r *run) restartDiscovery(Fault) error { return r.platform.restartDiscovery() }

// drainWorker drains and stops a worker, and then restarts it or starts a replacement at its address.
func (r *run) drainWorker(fault Fault) error {
	worker := r.platform.worker(fault.Target)
	r.platform.drain(fault.Target)
	time.Sleep(fault.Duration)
	r.platform.setState(fault.Target, stateRemoved)
	worker.stop()
	time.Sleep(removalDuration)
	id := worker.id
	if fault.Kind == WorkerReplaced {
		id = r.platform.replacementID(fault.Target)
	}
	return r.platform.restartWorker(fault.Target, id)
}

// killWorker kills a worker and restarts it when the fault ends.
func (r *run) killWorker(fault Fault) error {
	worker := r.platform.worker(fault.Target)
	r.platform.setState(fault.Target, stateRemoved)
	worker.stop()
	time.Sleep(fault.Duration)
	return r.platform.restartWorker(fault.Target, worker.id)
}

// moveWorker kills a worker. A worker of the next cell takes its address; it runs most keyed calls and answers them with
// an error until the fault ends.
func (r *run) moveWorker(fault Fault) error {
	old := r.platform.worker(fault.Target)
	r.platform.setState(fault.Target, stateRemoved)
	old.stop()
	time.Sleep(takeoverDelay)
	if err := r.platform.startInNextCell(fault.Target); err != nil {
		return err
	}
	moved := r.platform.worker(fault.Target)
	time.Sleep(fault.Duration)
	moved.setBehaviour(healthy)
	return nil
}

// changeBehaviour returns an injector that changes a worker's behaviour for the duration of the fault.
func changeBehaviour(b behaviour) func(*run, Fault) error {
	return func(r *run, fault Fault) error {
		worker := r.platform.worker(fault.Target)
		worker.setBehaviour(b)
		time.Sleep(fault.Duration)
		worker.setBehaviour(healthy)
		return nil
	}
}

// resetWorkerConns resets all connections to a worker repeatedly.
func (r *run) resetWorkerConns(fault Fault) error {
	worker := r.platform.worker(fault.Target)
	for end := time.Now().Add(fault.Duration); time.Now().Before(end); time.Sleep(resetInterval) {
		worker.failConns(fakeplatform.ResetConn)
	}
	return nil
}

// terminateRouter performs a planned restart: SIGTERM, then SIGKILL as early as the platform may send it. Clients
// open new connections for newConnPeriod, and use open ones until shortly before SIGKILL.
func (r *run) terminateRouter(fault Fault) error {
	n := r.nodes[fault.Target]
	c := r.clients[fault.Target]
	ended := n.expectEnd()
	n.signal(syscall.SIGTERM)
	killAt := time.Now().Add(min(r.schedule.Settings.Deadline, maxDeadlineWait) + sigkillGrace)
	time.Sleep(newConnPeriod)
	c.setOpenConnsOnly(true)
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

// killRouter kills a router without notice and restarts it.
func (r *run) killRouter(fault Fault) error {
	n := r.nodes[fault.Target]
	c := r.clients[fault.Target]
	c.setKilled(true)
	r.platform.records.Add(invariants.Record{Kind: invariants.RouterKilled, Router: routerName(n.router)})
	n.kill()
	time.Sleep(restartDelay)
	return r.restartRouter(n, c)
}

// restartRouter starts a router's next process with the current endpoint list and lets clients call it.
func (r *run) restartRouter(n *node, c *clientGroup) error {
	c.closeIdle()
	r.platform.records.Add(invariants.Record{Kind: invariants.RouterStarted, Router: routerName(n.router)})
	if err := n.start(); err != nil {
		return err
	}
	c.setKilled(false)
	c.setOpenConnsOnly(false)
	return nil
}

// stepClock steps the clock for the start times in the endpoint list: forward for an even target, back for an odd one.
func (r *run) stepClock(fault Fault) error {
	step := clockStep
	if fault.Target%2 == 1 {
		step = -step
	}
	r.platform.stepClock(step)
	return nil
}

// crowdConnections opens many connections to a router that send nothing or the beginning of a request, and closes them
// when the fault ends.
func (r *run) crowdConnections(fault Fault) error {
	var conns []net.Conn
	for i := range crowdConnCount {
		conn, err := net.DialTimeout("tcp", r.clients[fault.Target].address, dialTimeout)
		if err != nil {
			continue // the router accepts no more connections
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

// stopRouter suspends a router's process with SIGSTOP for the duration of the fault.
func (r *run) stopRouter(fault Fault) error {
	n := r.nodes[fault.Target]
	n.signal(syscall.SIGSTOP)
	time.Sleep(fault.Duration)
	n.signal(syscall.SIGCONT)
	return nil
}

// reloadRouter has a router reload its configuration several times in a row.
func (r *run) reloadRouter(fault Fault) error {
	for range reloadCount {
		if err := r.nodes[fault.Target].reload(); err != nil {
			return err
		}
		time.Sleep(reloadInterval)
	}
	return nil
}

// changeTraffic returns an injector that changes the traffic to all routers for the duration of the fault.
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
