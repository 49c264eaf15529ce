// Package agent runs the gossip cores for one router: its sockets, its clock and its loop. It decides nothing;
// what goes to the router is the outcome of the router's own looks and a count that only rises.
package agent

import (
	"crypto/ed25519"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"net"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/topazfront/topazfront/dispatch"
	"github.com/topazfront/topazfront/internal/gossip"
)

// Config is the agent's share of the settings.
type Config struct {
	ID           string
	Listen       string // host:port, UDP and TCP
	Advertise    string // where others reach it; empty: as it listens
	Seeds        []string
	Gossip       gossip.Config
	Quorum       gossip.SuspicionQuorumConfig
	Limiter      gossip.PacketLimiterConfig
	Collector    gossip.EvidenceCollectorConfig
	CheckTimeout time.Duration
	Seed         uint64
	Incarnation  uint64 // 0: the start time
	Key          Key
	Members      Members
	Logger       *slog.Logger
	Hooks        Hooks
	MemberDied   func(id string) // nil, or told of members that come to be held dead
}

// Hooks put faults and counters between an agent and its sockets; nil ones do nothing.
type Hooks struct {
	WrapPacketConn func(net.PacketConn) net.PacketConn
	AllowStream    func(to string, bytes int) bool // told of each packet that goes over a stream; false: it is lost
}

// Key is a router's own key.
type Key struct {
	Name    string
	Private ed25519.PrivateKey
}

// Members are the admitted members: keys by member and key name.
type Members map[string]map[string]ed25519.PublicKey

// Router is what the agent needs of its router. No method blocks.
type Router interface {
	// Look asks a worker for a sign of life, unless it was heard within heard: then void is told.
	VerifyWorker(worker string, heard, limit time.Duration, done func(alive, void bool))
	// Peers hands the module what came of peers' word.
	ApplyGossip(dispatch.GossipUpdate)
}

// Dropped counts what was not read, by reason.
type Dropped struct {
	RateLimited  uint64 `json:"over_the_limit"` // of signature checks for its source
	Malformed    uint64 `json:"malformed"`
	UnknownKey   uint64 `json:"unknown_key"`
	BadSignature uint64 `json:"bad_signature"`
	Replayed     uint64 `json:"replayed"`
	QueueFull    uint64 `json:"queue_full"`
	Statements   uint64 `json:"statements"` // within packets in order, that were forged or over the limit
}

// Packets sums the packets that were dropped.
func (d Dropped) TotalPackets() uint64 {
	return d.RateLimited + d.Malformed + d.UnknownKey + d.BadSignature + d.Replayed + d.QueueFull
}

// Add sums two counts.
func (d Dropped) Add(o Dropped) Dropped {
	return Dropped{d.RateLimited + o.RateLimited, d.Malformed + o.Malformed, d.UnknownKey + o.UnknownKey, d.BadSignature + o.BadSignature,
		d.Replayed + o.Replayed, d.QueueFull + o.QueueFull, d.Statements + o.Statements}
}

// Status is how an agent stands.
type Status struct {
	ID            string                      `json:"id"`
	Addr          string                      `json:"address"`
	Key           string                      `json:"key"`
	Members       int                         `json:"members"`
	Live          int                         `json:"live"`
	MostLive      int                         `json:"most_live"`
	HealthPenalty int                         `json:"local_health"` // 0 is good
	Received      uint64                      `json:"received"`
	Core          gossip.Stats                `json:"core"`
	Quorum        gossip.SuspicionQuorumStats `json:"judge"`
	Dropped       Dropped                     `json:"dropped"`
}

// Peer is a member as the operators see it.
type Peer struct {
	gossip.Member
	State  string   `json:"state"`
	Weight float64  `json:"weight"` // of its word of workers
	Keys   []string `json:"keys"`
}

// KeyList is the admitted keys.
type KeyList struct {
	Own     string              `json:"own"` // name of the key that this router signs with
	Members map[string][]string `json:"members"`
}

// queueMost is how many packets wait for the loop at the most; the rest are dropped, as in the network.
const maxQueuedPackets = 4096

// Agent runs the cores for one router.
type Agent struct {
	cfg        Config
	logger     *slog.Logger
	router     Router
	addr       string
	startedAt  time.Time
	packetConn net.PacketConn
	streams    *streamTransport

	mu            sync.Mutex
	tasks         []func()
	queuedPackets int
	queueFull     uint64 // dropped at the queue
	wake          chan struct{}
	closed        bool
	loopDone      chan struct{}
	readers       sync.WaitGroup

	// Of the loop.
	core              *gossip.Core
	keys              *gossip.Keyring
	limiter           *gossip.PacketLimiter
	quorum            *gossip.SuspicionQuorum
	collector         *gossip.EvidenceCollector
	coreEvents        []gossip.Event
	quorumEvents      []gossip.QuorumEvent
	collectorEvents   []gossip.CollectorEvent
	dropped           Dropped
	received          uint64
	duplicateLoggedAt time.Duration
}

// epoch is what the agent's clock shows at its start.
const clockStart = time.Hour

// Start opens the sockets and runs the agent until Close.
func Start(cfg Config, r Router) (*Agent, error) {
	if cfg.Logger == nil {
		cfg.Logger = slog.New(slog.DiscardHandler)
	}
	a := &Agent{cfg: cfg, logger: cfg.Logger, router: r, startedAt: time.Now(), wake: make(chan struct{}, 1),
		loopDone: make(chan struct{})}
	if err := a.listen(); err != nil {
		return nil, err
	}
	life := cfg.Incarnation
	if life == 0 {
		life = uint64(a.startedAt.UnixNano())
	}
	a.keys = gossip.NewKeyring(cfg.Key.Name, cfg.Key.Private, life)
	var err error
	a.core, err = gossip.NewCore(cfg.Gossip, cfg.ID, a.addr, life, cfg.Seed, a.keys.SignStatement)
	if err != nil {
		a.closeSockets()
		return nil, err
	}
	a.limiter = gossip.NewPacketLimiter(cfg.Limiter)
	a.quorum = gossip.NewSuspicionQuorum(cfg.Quorum)
	a.collector = gossip.NewEvidenceCollector(cfg.Collector, a.quorum.SilenceWeight)
	a.applyMembers(cfg.Members)
	a.coreEvents = append(a.coreEvents, gossip.Join{Addresses: cfg.Seeds})
	a.logger.Info("gossip", "address", a.addr, "key", cfg.Key.Name, "admitted", len(cfg.Members), "seeds", len(cfg.Seeds))
	go a.loop()
	a.readers.Go(a.readDatagrams)
	return a, nil
}

// open opens both sockets on one port.
func (a *Agent) listen() error {
	var last error
	for range 16 { // a port that the system chose for one may be in use for the other
		s, err := listenStream(a.cfg.Listen, a.streamPacketReceived)
		if err != nil {
			return fmt.Errorf("gossip: %w", err)
		}
		pc, err := net.ListenPacket("udp", s.Addr())
		if err != nil {
			s.Close()
			if _, port, _ := net.SplitHostPort(a.cfg.Listen); port != "0" {
				return fmt.Errorf("gossip: %w", err)
			}
			last = err
			continue
		}
		if u, ok := pc.(*net.UDPConn); ok {
			_ = u.SetReadBuffer(1 << 20) // the system may give less; what does not fit is lost, as in any network
		}
		a.packetConn, a.streams, a.addr = pc, s, s.Addr()
		if a.cfg.Hooks.WrapPacketConn != nil {
			a.packetConn = a.cfg.Hooks.WrapPacketConn(pc)
		}
		if a.cfg.Advertise != "" {
			a.addr = a.cfg.Advertise
		}
		return nil
	}
	return fmt.Errorf("gossip: no port free for both UDP and TCP: %w", last)
}

func (a *Agent) closeSockets() {
	_ = a.packetConn.Close()
	a.streams.Close()
}

// Addr is where others reach the agent.
func (a *Agent) Addr() string { return a.addr }

func (a *Agent) now() time.Duration { return clockStart + time.Since(a.startedAt) }

// Close ends the agent without a word, as its death would.
func (a *Agent) Close() {
	a.mu.Lock()
	was := a.closed
	a.closed = true
	a.mu.Unlock()
	if was {
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

// post has the loop run f.
func (a *Agent) enqueue(f func()) bool {
	a.mu.Lock()
	if a.closed {
		a.mu.Unlock()
		return false
	}
	a.tasks = append(a.tasks, f)
	a.mu.Unlock()
	a.wakeLoop()
	return true
}

// read hands datagrams to the loop.
func (a *Agent) readDatagrams() {
	buf := make([]byte, 64<<10)
	for {
		n, from, err := a.packetConn.ReadFrom(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		} else if err != nil {
			continue // a datagram that could not be delivered earlier
		}
		if n > maxDatagramBytes {
			n = maxDatagramBytes + 1 // it is refused, whatever is in it
		}
		p := append([]byte(nil), buf[:n]...)
		src := from.String()
		a.enqueuePacket(func() { a.packetReceived(src, p, false) })
	}
}

const maxDatagramBytes = 1400

func (a *Agent) streamPacketReceived(src string, p []byte) {
	a.enqueuePacket(func() { a.packetReceived(src, p, true) })
}

// packet posts a packet's reading while not too many wait.
func (a *Agent) enqueuePacket(f func()) {
	a.mu.Lock()
	if a.closed || a.queuedPackets >= maxQueuedPackets {
		a.queueFull++
		a.mu.Unlock()
		return
	}
	a.queuedPackets++
	a.tasks = append(a.tasks, f)
	a.mu.Unlock()
	a.wakeLoop()
}

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
		for _, f := range batch {
			f()
		}
		clear(batch)
		a.step()
		timer.Reset(max(a.nextDue()-a.now(), 0))
	}
}

func (a *Agent) nextDue() time.Duration {
	at := a.core.Due()
	if w, ok := a.collector.Due(); ok {
		at = min(at, w)
	}
	return at
}

// step hands what has come to the cores, and what one decides to the next, until nothing is left.
func (a *Agent) step() {
	for first := true; first || len(a.coreEvents)+len(a.quorumEvents)+len(a.collectorEvents) > 0; first = false {
		now := a.now()
		for _, o := range a.collector.Step(now, takeAll(&a.collectorEvents)) {
			a.coreEvents = append(a.coreEvents, o)
		}
		for _, o := range a.core.Step(now, takeAll(&a.coreEvents)) {
			a.perform(o)
		}
		for _, o := range a.quorum.Step(now, takeAll(&a.quorumEvents)) {
			a.performQuorumAction(o)
		}
	}
}

func takeAll[T any](list *[]T) []T {
	out := *list
	*list = nil
	return out
}

func (a *Agent) perform(o gossip.Action) {
	switch o := o.(type) {
	case gossip.Send:
		a.send(o)
	case gossip.MemberStateChanged:
		a.logger.Info("peer", "peer", o.ID, "state", o.State)
		if o.State == gossip.Dead && a.cfg.MemberDied != nil {
			a.cfg.MemberDied(o.ID)
		}
	case gossip.LiveCountIncreased:
		a.router.ApplyGossip(dispatch.GossipUpdate{Routers: o.Count})
	case gossip.EvidenceReceived:
		s := &o.Statement
		a.logger.Debug("word of a worker", "worker", s.Subject, "is", s.Kind, "class", s.Text, "by", s.Signer, "age", o.Age)
		a.quorumEvents = append(a.quorumEvents, gossip.Claim{Worker: s.Subject, Started: s.SubjectIncarnation, Kind: s.Kind, Class: s.Text,
			Signer: s.Signer, Age: o.Age})
	case gossip.IncarnationRaised:
		a.keys.AdvanceCounter(o.Above)
		a.logger.Warn("an earlier life of this router counted further; was the clock set back?", "to", o.Above)
	case gossip.DuplicateMember:
		if now := a.now(); now-a.duplicateLoggedAt > 10*time.Second {
			a.duplicateLoggedAt = now
			a.logger.Error("another process speaks under this router's name and key", "from", o.Addr)
		}
	}
}

func (a *Agent) performQuorumAction(o gossip.QuorumAction) {
	switch o := o.(type) {
	case gossip.CheckWorker:
		a.router.VerifyWorker(o.Worker, a.cfg.Quorum.RecentlyHeard, a.cfg.CheckTimeout, func(alive, void bool) {
			a.enqueue(func() {
				a.quorumEvents = append(a.quorumEvents, gossip.WorkerChecked{Worker: o.Worker, Alive: alive, Skipped: void})
			})
		})
	case gossip.SilenceConfirmed:
		a.logger.Info("peers' word of a silent worker bears out", "worker", o.Worker)
		a.router.ApplyGossip(dispatch.GossipUpdate{SuspectedWorkers: []string{o.Worker}})
	}
}

func (a *Agent) send(s gossip.Send) {
	p, err := a.keys.Seal(s.Message)
	if err != nil {
		a.logger.Error("message not sent", "error", err)
		return
	}
	if s.Stream {
		if a.cfg.Hooks.AllowStream == nil || a.cfg.Hooks.AllowStream(s.To, len(p)+4) {
			a.streams.Send(s.To, p)
		}
		return
	}
	to, err := parseAddress(s.To)
	if err != nil {
		a.logger.Debug("address of no use", "address", s.To, "error", err)
		return
	}
	_, _ = a.packetConn.WriteTo(p, to) // what is not sent counts as lost
}

// resolve reads an address. Names are not looked up here, as that could block the loop.
func parseAddress(addr string) (*net.UDPAddr, error) {
	host, port, err := net.SplitHostPort(addr)
	if err != nil {
		return nil, err
	}
	ip, n := net.ParseIP(host), 0
	if n, err = strconv.Atoi(port); err != nil || ip == nil || n < 1 || n > 65535 {
		return nil, fmt.Errorf("%q is no IP address and port", addr)
	}
	return &net.UDPAddr{IP: ip, Port: n}, nil
}

// take reads one packet. What fails costs little: nothing is parsed, and no signature checked, beyond the
// gate's bounds.
func (a *Agent) packetReceived(src string, p []byte, stream bool) {
	now := a.now()
	if !stream && len(p) > maxDatagramBytes {
		a.dropped.Malformed++
		return
	}
	if !a.limiter.AllowPacket(now, src) {
		a.dropped.RateLimited++
		return
	}
	m, seen, err := a.keys.Open(p)
	switch {
	case errors.Is(err, gossip.ErrMalformed):
		a.dropped.Malformed++
	case errors.Is(err, gossip.ErrUnknownKey):
		a.dropped.UnknownKey++
	case errors.Is(err, gossip.ErrSignature):
		a.dropped.BadSignature++
	case errors.Is(err, gossip.ErrReplay):
		a.dropped.Replayed++
		if errors.Is(err, gossip.ErrStale) {
			a.coreEvents = append(a.coreEvents, gossip.StaleMessage{Message: m, Seen: seen})
		}
	}
	if err != nil {
		a.logger.Debug("packet dropped", "from", src, "reason", err)
		return
	}
	a.received++
	if !stream {
		a.limiter.Authenticated(now, src, m.From)
	}
	keep := m.Statements[:0]
	for i := range m.Statements {
		s := &m.Statements[i]
		switch {
		case !a.core.Wants(s):
		case !a.limiter.AllowStatement(now, m.From) || a.keys.VerifyStatement(s) != nil:
			a.dropped.Statements++
		default:
			keep = append(keep, *s)
		}
	}
	m.Statements = keep
	// One at a time, as what the core wants depends on what it has learned.
	for _, o := range a.core.Step(now, append(takeAll(&a.coreEvents), gossip.MessageReceived{Message: m})) {
		a.perform(o)
	}
}

// admit follows the list of admitted members.
func (a *Agent) applyMembers(m Members) {
	a.keys.SetAdmitted(m)
	a.coreEvents = append(a.coreEvents, gossip.AdmissionChanged{Admitted: func(id string) bool { return id == a.cfg.ID || m[id] != nil }})
	if own := m[a.cfg.ID][a.keys.OwnKeyName()]; own == nil {
		a.logger.Warn("this router's own key is not among the admitted ones", "key", a.keys.OwnKeyName())
	} else if pub, ok := a.cfg.Key.Private.Public().(ed25519.PublicKey); !ok || !pub.Equal(own) {
		a.logger.Error("the admitted key of this router's is not the one that it signs with", "key", a.keys.OwnKeyName())
	}
}

// SetMembers admits exactly these members from now on.
func (a *Agent) SetMembers(m Members) {
	a.enqueue(func() {
		a.logger.Info("admitted members", "members", len(m))
		a.cfg.Members = m
		a.applyMembers(m)
	})
}

// SetKey signs with another key from now on.
func (a *Agent) SetKey(k Key) {
	a.enqueue(func() {
		a.logger.Info("own key", "key", k.Name)
		a.cfg.Key = k
		a.keys.SetOwnKey(k.Name, k.Private)
		a.applyMembers(a.cfg.Members)
	})
}

// SetWorkers follows the list of workers: start times in Unix milliseconds, 0 for long ago.
func (a *Agent) SetWorkers(started map[string]uint64) {
	a.enqueue(func() {
		a.collectorEvents = append(a.collectorEvents, gossip.WorkerList{Started: started})
		a.quorumEvents = append(a.quorumEvents, gossip.WorkerList{Started: started})
	})
}

// Doubted tells of a doubt that the router has by its own evidence.
func (a *Agent) ReportSuspicion(d dispatch.ReportSuspicion) {
	about := gossip.WorkerSilent
	if d.Slow {
		about = gossip.WorkerSlow
	} else if d.Class != "" {
		about = gossip.WorkerFailing
	}
	a.enqueue(func() {
		a.collectorEvents = append(a.collectorEvents, gossip.WorkerSuspected{Worker: d.Worker, Kind: about, Class: d.Class})
	})
}

// HeardOf tells that a worker that was doubted to be silent gave a sign of life.
func (a *Agent) ReportAlive(worker string) {
	a.enqueue(func() {
		a.collectorEvents = append(a.collectorEvents, gossip.WorkerHeard{Worker: worker})
		a.quorumEvents = append(a.quorumEvents, gossip.WorkerHeard{Worker: worker})
	})
}

// ask has the loop answer.
func callLoop[T any](a *Agent, f func() T) (out T) {
	got := make(chan T, 1)
	if !a.enqueue(func() { got <- f() }) {
		return out
	}
	select {
	case out = <-got:
	case <-a.loopDone:
	}
	return out
}

// Status tells how the agent stands.
func (a *Agent) Status() Status {
	return callLoop(a, func() Status {
		s := Status{ID: a.cfg.ID, Addr: a.addr, Key: a.keys.OwnKeyName(), Members: len(a.core.Members()), Live: a.core.Live(),
			MostLive: a.core.Stats().MostLive, HealthPenalty: a.core.HealthPenalty(), Received: a.received, Core: a.core.Stats(),
			Quorum: a.quorum.Stats(), Dropped: a.dropped}
		a.mu.Lock()
		s.Dropped.QueueFull = a.queueFull
		a.mu.Unlock()
		return s
	})
}

// Peers lists the members known.
func (a *Agent) Peers() []Peer {
	return callLoop(a, func() (out []Peer) {
		for _, m := range a.core.Members() {
			out = append(out, Peer{Member: m, State: m.State.String(), Weight: a.quorum.Weight(m.ID),
				Keys: slices.Sorted(maps.Keys(a.keys.AdmittedKeys(m.ID)))})
		}
		return out
	})
}

// Suspicions lists what is said of workers.
func (a *Agent) Suspicions() []gossip.Suspicion {
	return callLoop(a, func() []gossip.Suspicion { return a.quorum.Suspicions() })
}

// Keys lists the admitted keys by name.
func (a *Agent) Keys() KeyList {
	return callLoop(a, func() KeyList {
		out := KeyList{Own: a.keys.OwnKeyName(), Members: map[string][]string{}}
		for id, k := range a.cfg.Members {
			out.Members[id] = slices.Sorted(maps.Keys(k))
		}
		return out
	})
}
