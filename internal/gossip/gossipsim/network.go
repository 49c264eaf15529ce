package gossipsim

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/topazfront/topazfront/internal/gossip"
)

// Network is a set of cores and the simulated network between them. Its exported fields may be set between calls.
type Network struct {
	Now         time.Duration
	Cores       []*gossip.Core // nil: not running
	Loss        float64        // share of the datagrams that are lost
	Duplicated  float64        // share of the datagrams that arrive twice
	Delay       func(from, to int) time.Duration
	Partitioned func(from, to int) bool            // whether nothing passes from one core to another, streams too; may be nil
	Sent        []Traffic                          // by each core
	OnAction    func(by int, action gossip.Action) // called for each action other than a Send; may be nil
	ClockSkew   []time.Duration                    // of each core's clock

	config          gossip.Config
	rng             *rand.Rand
	seed            uint64
	lastIncarnation uint64
	index           map[string]int // of the cores by address
	queue           eventQueue
	eventSeq        uint64
	timerAt         []time.Duration // earliest timer set for each core
}

// Traffic is what one core has sent.
type Traffic struct {
	Bytes, Messages float64
	PeakBytes       float64 // most bytes in any full second
	second          time.Duration
	bytesInSecond   float64
}

// add counts a message sent at a time.
func (t *Traffic) add(now time.Duration, bytes float64) {
	t.Bytes += bytes
	t.Messages++
	if second := now / time.Second; second != t.second {
		t.second, t.bytesInSecond = second, 0
	}
	t.bytesInSecond += bytes
	t.PeakBytes = max(t.PeakBytes, t.bytesInSecond)
}

// event is the arrival of a message or, without one, a core's timer.
type event struct {
	at      time.Duration
	seq     uint64 // order of events at one time
	to      int
	message *gossip.Message
}

// eventQueue is a heap of events, the earliest first.
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

// NewNetwork returns a network of n cores that are not yet running, with delays of 1 to 5 ms.
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
	nw.Delay = func(int, int) time.Duration { return shortDelay(nw.rng) }
	return nw
}

// shortDelay draws a delay of 1 to 5 ms.
func shortDelay(rng *rand.Rand) time.Duration {
	return time.Duration((1 + 4*rng.Float64()) * float64(time.Millisecond))
}

// MemberID returns the ID of a core, which is its address too.
func MemberID(i int) string { return fmt.Sprintf("r%04d", i) }

// Start starts a core with the next incarnation. It joins at the cores that seeds names.
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
		panic(err) // an error of the program that set the configuration
	}
	nw.Cores[i] = core
	join := gossip.Join{}
	for _, s := range seeds {
		join.Addresses = append(join.Addresses, MemberID(s))
	}
	nw.Step(i, join)
}

// StartAll starts every core. With known, each knows all others from the beginning; without, all join at two of them.
func (nw *Network) StartAll(known bool) {
	if !known {
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

// Stop ends a core without notice to the others.
func (nw *Network) Stop(i int) { nw.Cores[i] = nil }

// Step passes events to a core now.
func (nw *Network) Step(i int, events ...gossip.Event) {
	core := nw.Cores[i]
	nw.perform(i, core.Step(nw.Now+nw.ClockSkew[i], events))
	nw.setTimer(i)
}

// setTimer sets a core's timer to when it is due, unless an earlier one is set, which will set it anew.
func (nw *Network) setTimer(i int) {
	at := max(nw.Cores[i].Due()-nw.ClockSkew[i], nw.Now)
	if nw.timerAt[i] > nw.Now && nw.timerAt[i] <= at {
		return
	}
	nw.timerAt[i] = at
	nw.push(event{at: at, to: i})
}

// push queues an event behind those of the same time.
func (nw *Network) push(e event) {
	nw.eventSeq++
	e.seq = nw.eventSeq
	heap.Push(&nw.queue, e)
}

// wantedPart removes the statements that the core does not want, as its caller would.
func (nw *Network) wantedPart(to int, m gossip.Message) gossip.MessageReceived {
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

// send counts a message and queues its arrival, or two, or none.
func (nw *Network) send(from int, s gossip.Send) {
	nw.Sent[from].add(nw.Now, float64(s.Message.Size()))
	to, known := nw.index[s.To]
	if !known || nw.Partitioned != nil && nw.Partitioned(from, to) || !s.Stream && nw.rng.Float64() < nw.Loss {
		return
	}
	for range nw.copies() {
		nw.push(event{at: nw.Now + nw.Delay(from, to), to: to, message: &s.Message})
	}
}

// copies draws how often a message arrives.
func (nw *Network) copies() int {
	if nw.Duplicated > 0 && nw.rng.Float64() < nw.Duplicated {
		return 2
	}
	return 1
}

// Run advances the simulated time.
func (nw *Network) Run(duration time.Duration) {
	end := nw.Now + duration
	for len(nw.queue) > 0 && nw.queue[0].at <= end {
		e, _ := heap.Pop(&nw.queue).(event)
		nw.Now = max(nw.Now, e.at)
		core := nw.Cores[e.to]
		switch {
		case core == nil:
		case e.message != nil:
			nw.Step(e.to, nw.wantedPart(e.to, *e.message))
		case core.Due()-nw.ClockSkew[e.to] <= nw.Now:
			nw.Step(e.to)
		case e.at >= nw.timerAt[e.to]:
			nw.setTimer(e.to)
		}
	}
	nw.Now = end
}

// totals sums the traffic of all cores, and the suspicions of those that run.
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
