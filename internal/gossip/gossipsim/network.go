package gossipsim

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/topazfront/topazfront/internal/gossip"
)

// Network is a set of cores connected by a simulated network. The exported fields may be changed between calls of its
// methods.
type Network struct {
	Now         time.Duration
	Cores       []*gossip.Core // nil if not running
	Loss        float64        // fraction of the datagrams that are lost
	Duplication float64        // fraction of the messages that arrive twice
	Delay       func(from, to int) time.Duration
	Partitioned func(from, to int) bool            // whether all messages from one core to another are lost; may be nil
	Sent        []Traffic                          // traffic sent, by core
	OnAction    func(by int, action gossip.Action) // called for each action except Send; may be nil
	ClockSkew   []time.Duration                    // clock offset, by core

	config          gossip.Config
	rng             *rand.Rand
	seed            uint64
	lastIncarnation uint64
	index           map[string]int // index of each core, by address
	queue           eventQueue
	eventSeq        uint64
	timerAt         []time.Duration // time of the earliest pending timer, by core
}

// Traffic counts the messages sent by one core.
type Traffic struct {
	Bytes, Messages float64
	PeakBytes       float64 // most bytes from one full second to the next
	second          time.Duration
	bytesInSecond   float64
}

// add counts a message sent at now.
func (t *Traffic) add(now time.Duration, bytes float64) {
	t.Bytes += bytes
	t.Messages++
	if second := now / time.Second; second != t.second {
		t.second, t.bytesInSecond = second, 0
	}
	t.bytesInSecond += bytes
	t.PeakBytes = max(t.PeakBytes, t.bytesInSecond)
}

// event is the arrival of a message or, if message is nil, a timer of a core.
type event struct {
	at      time.Duration
	seq     uint64 // order of events with equal times
	to      int
	message *gossip.Message
}

// eventQueue is a heap of events with the earliest first.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *eventQueue) Push(x any) {
	e, _ := x.(event)
	*q = append(*q, e)
}

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

// NewNetwork returns a network for n cores, none of which is running, with delays of 1 to 5 ms.
func NewNetwork(config gossip.Config, n int, seed uint64) *Network {
	nw := &Network{
		Cores:           make([]*gossip.Core, n),
		Sent:            make([]Traffic, n),
		ClockSkew:       make([]time.Duration, n),
		config:          config,
		rng:             rand.New(rand.NewPCG(seed, 3)),
		seed:            seed,
		lastIncarnation: 1,
		index:           map[string]int{},
		timerAt:         make([]time.Duration, n),
	}
	for i := range n {
		nw.index[MemberID(i)] = i
	}
	nw.Delay = func(int, int) time.Duration { return drawDelay(nw.rng) }
	return nw
}

// drawDelay returns a random delay of 1 to 5 ms.
func drawDelay(rng *rand.Rand) time.Duration {
	return time.Duration((1 + 4*rng.Float64()) * float64(time.Millisecond))
}

// MemberID returns the ID of a core, which is also its address.
func MemberID(i int) string { return fmt.Sprintf("r%04d", i) }

// Start starts a core with the next incarnation. The core joins the cores with the indexes in seeds.
func (nw *Network) Start(i int, seeds ...int) {
	nw.lastIncarnation++
	nw.StartIncarnation(i, nw.lastIncarnation, seeds...)
}

// StartIncarnation starts a core with a given incarnation.
func (nw *Network) StartIncarnation(i int, incarnation uint64, seeds ...int) {
	seed := nw.seed + uint64(i) + incarnation<<20
	unsigned := func(*gossip.Statement) {}
	core, err := gossip.NewCore(nw.config, MemberID(i), MemberID(i), incarnation, seed, unsigned)
	if err != nil {
		panic(err) // the caller passed an invalid configuration
	}
	nw.Cores[i] = core
	join := gossip.Join{}
	for _, s := range seeds {
		join.Addresses = append(join.Addresses, MemberID(s))
	}
	nw.Step(i, join)
}

// StartAll starts all cores. If membersKnown is set, each knows all others from the start; otherwise all join two seed
// cores.
func (nw *Network) StartAll(membersKnown bool) {
	if !membersKnown {
		for i := range nw.Cores {
			nw.Start(i, 0, len(nw.Cores)/2)
		}
		return
	}
	statements := make([]gossip.Statement, len(nw.Cores))
	for i := range nw.Cores {
		statements[i] = gossip.Statement{
			Kind:        gossip.MemberAlive,
			Signer:      MemberID(i),
			Incarnation: uint64(i + 2),
			Seq:         1,
			Text:        MemberID(i),
		}
	}
	for i := range nw.Cores {
		nw.Start(i)
		nw.Step(i, gossip.KnownMembers{Statements: statements})
		nw.Cores[i].MarkAllDirect()
	}
}

// Stop ends a core without notifying the others.
func (nw *Network) Stop(i int) { nw.Cores[i] = nil }

// Step passes events to a core at the current time and carries out its actions.
func (nw *Network) Step(i int, events ...gossip.Event) {
	core := nw.Cores[i]
	nw.perform(i, core.Step(nw.Now+nw.ClockSkew[i], events))
	nw.setTimer(i)
}

// setTimer sets a timer for when a core is due. It does nothing if an earlier timer is pending, which calls setTimer
// again.
func (nw *Network) setTimer(i int) {
	at := max(nw.Cores[i].Due()-nw.ClockSkew[i], nw.Now)
	if nw.timerAt[i] > nw.Now && nw.timerAt[i] <= at {
		return
	}
	nw.timerAt[i] = at
	nw.push(event{at: at, to: i})
}

// push queues an event after those with the same time.
func (nw *Network) push(e event) {
	nw.eventSeq++
	e.seq = nw.eventSeq
	heap.Push(&nw.queue, e)
}

// withWantedStatements returns the event of a message's arrival without the statements that the core does not want,
// which the core's caller has to remove.
func (nw *Network) withWantedStatements(to int, m gossip.Message) gossip.MessageReceived {
	var wanted []gossip.Statement
	for _, s := range m.Statements {
		if nw.Cores[to].Wants(&s) {
			wanted = append(wanted, s)
		}
	}
	m.Statements = wanted
	return gossip.MessageReceived{Message: m}
}

// perform carries out a core's actions.
func (nw *Network) perform(from int, actions []gossip.Action) {
	for _, a := range actions {
		if s, ok := a.(gossip.Send); ok {
			nw.send(from, s)
		} else if nw.OnAction != nil {
			nw.OnAction(from, a)
		}
	}
}

// send counts a message and queues its arrivals: none if it is lost, two if it is duplicated.
func (nw *Network) send(from int, s gossip.Send) {
	nw.Sent[from].add(nw.Now, float64(s.Message.Size()))
	to, known := nw.index[s.To]
	if !known || nw.Partitioned != nil && nw.Partitioned(from, to) || !s.Stream && nw.rng.Float64() < nw.Loss {
		return
	}
	for range nw.drawCopies() {
		nw.push(event{at: nw.Now + nw.Delay(from, to), to: to, message: &s.Message})
	}
}

// drawCopies returns how many times a message arrives, randomly once or twice.
func (nw *Network) drawCopies() int {
	if nw.Duplication > 0 && nw.rng.Float64() < nw.Duplication {
		return 2
	}
	return 1
}

// Run advances the simulated time by duration and processes all events until then.
func (nw *Network) Run(duration time.Duration) {
	end := nw.Now + duration
	for len(nw.queue) > 0 && nw.queue[0].at <= end {
		e, _ := heap.Pop(&nw.queue).(event)
		nw.Now = max(nw.Now, e.at)
		core := nw.Cores[e.to]
		switch {
		case core == nil:
		case e.message != nil:
			nw.Step(e.to, nw.withWantedStatements(e.to, *e.message))
		case core.Due()-nw.ClockSkew[e.to] <= nw.Now:
			nw.Step(e.to)
		case e.at >= nw.timerAt[e.to]:
			nw.setTimer(e.to)
		}
	}
	nw.Now = end
}

// totals returns the sum of all cores' traffic and of the running cores' suspicions.
func (nw *Network) totals() (sum Traffic, suspicions uint64) {
	for i, sent := range nw.Sent {
		sum.Bytes += sent.Bytes
		sum.Messages += sent.Messages
		if core := nw.Cores[i]; core != nil {
			suspicions += core.Stats().Suspicions
		}
	}
	return sum, suspicions
}
