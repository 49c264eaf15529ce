package agent

import (
	"crypto/ed25519"
	"log/slog"
	"net"
	"sync"
	"time"

	"github.com/topazfront/topazfront/dispatch"
	"github.com/topazfront/topazfront/internal/gossip"
	"github.com/topazfront/topazfront/internal/wallclock"
)

const (
	// maxQueuedPackets is how many packets may wait for the loop; the rest are dropped, as in a network.
	maxQueuedPackets = 4096
	// clockStart is what the agent's clock shows at its start.
	clockStart = time.Hour
	// duplicateLogInterval is the least time between two log lines on a process with the same key.
	duplicateLogInterval = 10 * time.Second
)

// Agent runs gossip for one router. Its methods may be called from any goroutine.
type Agent struct {
	cfg        Config
	logger     *slog.Logger
	router     Router
	addr       string
	startedAt  time.Time
	packetConn net.PacketConn
	streams    *streamTransport
	readers    sync.WaitGroup // the reader of datagrams
	loopDone   chan struct{}  // closed when the loop has ended
	wake       chan struct{}  // has the loop look at tasks and closed

	mu            sync.Mutex
	tasks         []func() // to be run by the loop
	queuedPackets int      // packets among tasks
	queueFull     uint64   // packets dropped as too many were queued
	closed        bool

	// Used by the loop alone, and by Start before the loop runs.
	core              *gossip.Core
	keys              *gossip.Keyring
	limiter           *gossip.PacketLimiter
	quorum            *gossip.SuspicionQuorum
	collector         *gossip.SuspicionPublisher
	coreEvents        []gossip.Event
	quorumEvents      []gossip.QuorumEvent
	collectorEvents   []gossip.PublisherEvent
	dropped           Dropped
	received          uint64
	duplicateLoggedAt time.Duration
}

// Start opens the sockets and runs the agent until Close.
func Start(cfg Config, r Router) (*Agent, error) {
	if cfg.Logger == nil {
		cfg.Logger = slog.New(slog.DiscardHandler)
	}
	if cfg.WallClock == nil {
		cfg.WallClock = wallclock.System
	}
	a := &Agent{
		cfg:       cfg,
		logger:    cfg.Logger,
		router:    r,
		startedAt: time.Now(),
		wake:      make(chan struct{}, 1),
		loopDone:  make(chan struct{}),
	}
	if err := a.listen(); err != nil {
		return nil, err
	}
	incarnation := cfg.Incarnation
	if incarnation == 0 {
		incarnation = cfg.WallClock.Now().UnixNano()
	}
	a.keys = gossip.NewKeyring(cfg.Key.Name, cfg.Key.Private, incarnation)
	var err error
	a.core, err = gossip.NewCore(cfg.Gossip, cfg.ID, a.addr, incarnation, cfg.Seed, a.keys.SignStatement)
	if err != nil {
		a.closeSockets()
		return nil, err
	}
	a.limiter = gossip.NewPacketLimiter(cfg.Limiter)
	a.quorum = gossip.NewSuspicionQuorum(cfg.Quorum)
	a.collector = gossip.NewSuspicionPublisher(cfg.Publisher, a.quorum.SilenceWeight)
	a.applyMembers(cfg.Members)
	a.coreEvents = append(a.coreEvents, gossip.Join{Addresses: cfg.Seeds})
	a.logger.Info("gossip started", "address", a.addr, "key", cfg.Key.Name, "admitted", len(cfg.Members),
		"seeds", len(cfg.Seeds))
	go a.loop()
	a.readers.Go(a.readDatagrams)
	return a, nil
}

// Addr returns the address at which others reach the agent.
func (a *Agent) Addr() string { return a.addr }

func (a *Agent) now() time.Duration { return clockStart + time.Since(a.startedAt) }

// Close ends the agent without notice to the other members, as a crash would, and waits for its goroutines. Further
// calls do nothing.
func (a *Agent) Close() {
	a.mu.Lock()
	alreadyClosed := a.closed
	a.closed = true
	a.mu.Unlock()
	if alreadyClosed {
		return
	}
	a.wakeLoop()
	<-a.loopDone
	a.closeSockets()
	a.readers.Wait()
}

func (a *Agent) wakeLoop() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// enqueue has the loop run a task. It returns false if the agent is closed; the task is then not run. A task that is
// queued when the agent is closed is not run either.
func (a *Agent) enqueue(task func()) bool {
	a.mu.Lock()
	if a.closed {
		a.mu.Unlock()
		return false
	}
	a.tasks = append(a.tasks, task)
	a.mu.Unlock()
	a.wakeLoop()
	return true
}

// enqueuePacket has the loop run a task that reads a packet, unless too many packets wait.
func (a *Agent) enqueuePacket(task func()) {
	a.mu.Lock()
	if a.closed || a.queuedPackets >= maxQueuedPackets {
		a.queueFull++
		a.mu.Unlock()
		return
	}
	a.queuedPackets++
	a.tasks = append(a.tasks, task)
	a.mu.Unlock()
	a.wakeLoop()
}

// loop runs tasks and steps the state machines when they are due, until the agent is closed.
func (a *Agent) loop() {
	defer close(a.loopDone)
	timer := time.NewTimer(0)
	defer timer.Stop()
	var batch []func()
	for {
		select {
		case <-a.wake:
		case <-timer.C:
		}
		a.mu.Lock()
		if a.closed {
			a.mu.Unlock()
			return
		}
		batch, a.tasks = a.tasks, batch[:0]
		a.queuedPackets = 0
		a.mu.Unlock()
		for _, task := range batch {
			task()
		}
		clear(batch)
		a.step()
		timer.Reset(max(a.nextDue()-a.now(), 0))
	}
}

func (a *Agent) nextDue() time.Duration {
	at := a.core.Due()
	if due, ok := a.collector.Due(); ok {
		at = min(at, due)
	}
	return at
}

// step passes the events that have come to the state machines, and the output of one to the next, until none is left.
func (a *Agent) step() {
	for first := true; first || len(a.coreEvents)+len(a.quorumEvents)+len(a.collectorEvents) > 0; first = false {
		now := a.now()
		for _, publication := range a.collector.Step(now, takeAll(&a.collectorEvents)) {
			a.coreEvents = append(a.coreEvents, publication)
		}
		for _, action := range a.core.Step(now, takeAll(&a.coreEvents)) {
			a.perform(action)
		}
		for _, action := range a.quorum.Step(now, takeAll(&a.quorumEvents)) {
			a.performQuorumAction(action)
		}
	}
}

// takeAll returns a list and empties it.
func takeAll[T any](list *[]T) []T {
	all := *list
	*list = nil
	return all
}

// perform carries out an action of the core.
func (a *Agent) perform(action gossip.Action) {
	switch action := action.(type) {
	case gossip.Send:
		a.send(action)
	case gossip.MemberStateChanged:
		a.logger.Info("member state changed", "member", action.ID, "state", action.State)
		if action.State == gossip.Dead && a.cfg.MemberDied != nil {
			a.cfg.MemberDied(action.ID)
		}
	case gossip.LiveCountIncreased:
		a.router.ApplyGossip(dispatch.GossipUpdate{Routers: action.Count})
	case gossip.EvidenceReceived:
		s := &action.Statement
		a.logger.Debug("evidence received", "worker", s.Subject, "kind", s.Kind, "class", s.Text, "signer", s.Signer,
			"age", action.Age)
		a.quorumEvents = append(a.quorumEvents, gossip.Claim{
			Worker:  s.Subject,
			Started: s.SubjectIncarnation,
			Kind:    s.Kind,
			Class:   s.Text,
			Signer:  s.Signer,
			Age:     action.Age,
		})
	case gossip.IncarnationRaised:
		a.keys.AdvanceCounter(action.Above)
		a.logger.Warn("incarnation raised above that of an earlier process; was the clock set back?", "above", action.Above)
	case gossip.DuplicateMember:
		if now := a.now(); now-a.duplicateLoggedAt > duplicateLogInterval {
			a.duplicateLoggedAt = now
			a.logger.Error("another process uses this router's name and key", "address", action.Addr)
		}
	}
}

// performQuorumAction carries out an action of the suspicion quorum.
func (a *Agent) performQuorumAction(action gossip.QuorumAction) {
	switch action := action.(type) {
	case gossip.CheckWorker:
		done := func(result gossip.CheckResult) {
			a.enqueue(func() {
				a.quorumEvents = append(a.quorumEvents, gossip.WorkerChecked{Worker: action.Worker, Result: result})
			})
		}
		a.router.VerifyWorker(action.Worker, a.cfg.Quorum.RecentlyHeard, a.cfg.CheckTimeout, done)
	case gossip.SilenceConfirmed:
		a.logger.Info("silent worker confirmed by own check", "worker", action.Worker)
		a.router.ApplyGossip(dispatch.GossipUpdate{SuspectedWorkers: []string{action.Worker}})
	}
}

// applyMembers admits exactly these members.
func (a *Agent) applyMembers(members Members) {
	a.keys.SetAdmitted(members)
	admitted := func(id string) bool { return id == a.cfg.ID || members[id] != nil }
	a.limiter.Retain(admitted)
	a.coreEvents = append(a.coreEvents, gossip.AdmissionChanged{Admitted: admitted})
	if own := members[a.cfg.ID][a.keys.OwnKeyName()]; own == nil {
		a.logger.Warn("own key is not among the admitted ones", "key", a.keys.OwnKeyName())
	} else if public, ok := a.cfg.Key.Private.Public().(ed25519.PublicKey); !ok || !public.Equal(own) {
		a.logger.Error("admitted own key does not match the private key", "key", a.keys.OwnKeyName())
	}
}

// SetMembers admits exactly these members from now on.
func (a *Agent) SetMembers(members Members) {
	a.enqueue(func() {
		a.logger.Info("admitted members changed", "members", len(members))
		a.cfg.Members = members
		a.applyMembers(members)
	})
}

// SetKey signs with another key from now on.
func (a *Agent) SetKey(key Key) {
	a.enqueue(func() {
		a.logger.Info("own key changed", "key", key.Name)
		a.cfg.Key = key
		a.keys.SetOwnKey(key.Name, key.Private)
		a.applyMembers(a.cfg.Members)
	})
}

// SetWorkers replaces the list of workers: start times in Unix milliseconds, 0 for long ago. The agent keeps the map.
func (a *Agent) SetWorkers(started map[string]uint64) {
	a.enqueue(func() {
		a.collectorEvents = append(a.collectorEvents, gossip.WorkerList{Started: started})
		a.quorumEvents = append(a.quorumEvents, gossip.WorkerList{Started: started})
	})
}

// ReportSuspicion reports a suspicion that the router has by its own evidence.
func (a *Agent) ReportSuspicion(s dispatch.ReportSuspicion) {
	kind := gossip.WorkerSilent
	if s.Slow {
		kind = gossip.WorkerSlow
	} else if s.Class != "" {
		kind = gossip.WorkerFailing
	}
	a.enqueue(func() {
		suspected := gossip.WorkerSuspected{Worker: s.Worker, Kind: kind, Class: s.Class}
		a.collectorEvents = append(a.collectorEvents, suspected)
	})
}

// ReportAlive reports that a worker that was suspected to be silent gave a sign of life.
func (a *Agent) ReportAlive(worker string) {
	a.enqueue(func() {
		a.collectorEvents = append(a.collectorEvents, gossip.WorkerHeard{Worker: worker})
		a.quorumEvents = append(a.quorumEvents, gossip.WorkerHeard{Worker: worker})
	})
}
