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
	// maxQueuedPackets is how many packets may wait for the loop. Further ones are dropped, like packets lost in the
	// network.
	maxQueuedPackets = 4096
	// clockStart is the time that the agent's clock shows when the agent starts.
	clockStart = time.Hour
	// duplicateLogInterval is the minimum time between two log lines about another process with the same key.
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
	readers    sync.WaitGroup // waits for readDatagrams
	loopDone   chan struct{}  // closed when the loop has returned
	wake       chan struct{}  // makes the loop check tasks and closed

	mu             sync.Mutex
	tasks          []func() // waiting to be run by the loop
	queuedPackets  int      // number of tasks that process a packet
	queueFullDrops uint64   // packets dropped because the queue was full or the agent closed
	closed         bool

	// The loop owns the fields below; Start sets them before it starts the loop.
	core              *gossip.Core
	keys              *gossip.Keyring
	limiter           *gossip.PacketLimiter
	quorum            *gossip.SuspicionQuorum
	publisher         *gossip.SuspicionPublisher
	coreEvents        []gossip.Event
	quorumEvents      []gossip.QuorumEvent
	publisherEvents   []gossip.PublisherEvent
	dropped           Dropped
	received          uint64
	duplicateLoggedAt time.Duration
}

// Start opens the sockets and runs an agent until Close.
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
	a.publisher = gossip.NewSuspicionPublisher(cfg.Publisher, a.quorum.SilenceWeight)
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

// Close ends the agent without notifying the other members, as a crash would, and waits for its goroutines. Further
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

// enqueue queues a task for the loop. It returns false if the agent is closed. Tasks still in the queue when the agent
// is closed are not run.
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

// enqueuePacket queues a task that processes a packet. It drops the task if too many packets are waiting or the agent
// is closed.
func (a *Agent) enqueuePacket(task func()) {
	a.mu.Lock()
	if a.closed || a.queuedPackets >= maxQueuedPackets {
		a.queueFullDrops++
		a.mu.Unlock()
		return
	}
	a.queuedPackets++
	a.tasks = append(a.tasks, task)
	a.mu.Unlock()
	a.wakeLoop()
}

// loop runs queued tasks and steps the state machines, after tasks and when a timer is due, until the agent is closed.
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
	if due, ok := a.publisher.Due(); ok {
		at = min(at, due)
	}
	return at
}

// step passes pending events to the state machines and carries out their actions, which may add events, until no event
// is pending. It steps each state machine at least once.
func (a *Agent) step() {
	for first := true; first || len(a.coreEvents)+len(a.quorumEvents)+len(a.publisherEvents) > 0; first = false {
		now := a.now()
		for _, publication := range a.publisher.Step(now, takeAll(&a.publisherEvents)) {
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

// takeAll returns the list and sets it to nil.
func takeAll[T any](list *[]T) []T {
	all := *list
	*list = nil
	return all
}

// perform carries out an action of [gossip.Core].
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

// performQuorumAction carries out an action of [gossip.SuspicionQuorum].
func (a *Agent) performQuorumAction(action gossip.QuorumAction) {
	switch action := action.(type) {
	case gossip.CheckWorker:
		done := func(result gossip.CheckResult) {
			a.enqueue(func() {
				a.quorumEvents = append(a.quorumEvents, gossip.WorkerChecked{Worker: action.Worker, Result: result})
			})
		}
		a.router.VerifyWorker(action.Worker, a.cfg.Quorum.MinSilence, a.cfg.CheckTimeout, done)
	case gossip.SilenceConfirmed:
		a.logger.Info("silent worker confirmed by own check", "worker", action.Worker)
		a.router.ApplyGossip(dispatch.GossipUpdate{SuspectedWorkers: []string{action.Worker}})
	}
}

// applyMembers replaces the admitted members. It logs if this router's own key is not admitted or does not match.
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

// SetMembers replaces the admitted members.
func (a *Agent) SetMembers(members Members) {
	a.enqueue(func() {
		a.logger.Info("admitted members changed", "members", len(members))
		a.cfg.Members = members
		a.applyMembers(members)
	})
}

// SetKey replaces the signing key.
func (a *Agent) SetKey(key Key) {
	a.enqueue(func() {
		a.logger.Info("own key changed", "key", key.Name)
		a.cfg.Key = key
		a.keys.SetOwnKey(key.Name, key.Private)
		a.applyMembers(a.cfg.Members)
	})
}

// SetWorkers replaces the list of workers and their start times in Unix milliseconds; 0 means long ago. The agent keeps
// the map; the caller must not modify it.
func (a *Agent) SetWorkers(started map[string]uint64) {
	a.enqueue(func() {
		a.publisherEvents = append(a.publisherEvents, gossip.WorkerList{Started: started})
		a.quorumEvents = append(a.quorumEvents, gossip.WorkerList{Started: started})
	})
}

// ReportSuspicion reports that the router suspects a worker because of its own observations.
func (a *Agent) ReportSuspicion(s dispatch.ReportSuspicion) {
	kind := gossip.WorkerSilent
	if s.Slow {
		kind = gossip.WorkerSlow
	} else if s.Class != "" {
		kind = gossip.WorkerFailing
	}
	a.enqueue(func() {
		suspected := gossip.WorkerSuspected{Worker: s.Worker, Kind: kind, Class: s.Class}
		a.publisherEvents = append(a.publisherEvents, suspected)
	})
}

// ReportAlive reports that the router received a response from a worker that it had suspected to be silent.
func (a *Agent) ReportAlive(worker string) {
	a.enqueue(func() {
		a.publisherEvents = append(a.publisherEvents, gossip.WorkerResponded{Worker: worker})
		a.quorumEvents = append(a.quorumEvents, gossip.WorkerResponded{Worker: worker})
	})
}
