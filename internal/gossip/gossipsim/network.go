// Package gossipsim plays many gossip cores by a script's clock, in one goroutine and from one seed: the same
// figures each time, at sizes that sockets don't reach.
package gossipsim

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/topazfront/topazfront/internal/gossip"
)

// Network is the cores and what is between them.
type Network struct {
	Now         time.Duration
	Cores       []*gossip.Core // nil: not running
	Loss        float64        // share of the datagrams that is lost
	Duplicated  float64        // share that comes twice
	Delay       func(from, to int) time.Duration
	Partitioned func(from, to int) bool // the way from one to another is cut, for streams too
	Sent        []Traffic
	OnAction    func(by int, action gossip.Action) // told of each action but Sends
	ClockSkew   []time.Duration                    // by which each clock is off

	config          gossip.Config
	rng             *rand.Rand
	seed            uint64
	lastIncarnation uint64
	index           map[string]int
	queue           eventQueue
	eventSeq        uint64
	timerAt         []time.Duration
}

// Traffic is what one core has sent.
type Traffic struct {
	Bytes, Messages float64
	PeakBytes       float64 // most bytes in any second, by full seconds
	second          time.Duration
	bytesInSecond   float64
}

type event struct {
	at      time.Duration
	seq     uint64
	to      int
	from    int
	message *gossip.Message // nil: a wake
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *eventQueue) Push(x any) { e, _ := x.(event); *q = append(*q, e) }

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any { o := *q; e := o[len(o)-1]; *q = o[:len(o)-1]; return e }

// New returns a network of n cores that are not yet running.
func NewNetwork(cfg gossip.Config, n int, seed uint64) *Network {
	w := &Network{config: cfg, seed: seed, rng: rand.New(rand.NewPCG(seed, 3)), index: map[string]int{}, lastIncarnation: 1,
		Cores: make([]*gossip.Core, n), Sent: make([]Traffic, n), ClockSkew: make([]time.Duration, n),
		timerAt: make([]time.Duration, n)}
	for i := range n {
		w.index[MemberID(i)] = i
	}
	w.Delay = func(int, int) time.Duration {
		return time.Duration((1 + 4*w.rng.Float64()) * float64(time.Millisecond))
	}
	return w
}

// ID is a core's name and address.
func MemberID(i int) string { return fmt.Sprintf("r%04d", i) }

// Start begins a core's next life. An address list makes it join there.
func (w *Network) Start(i int, seeds ...int) {
	w.lastIncarnation++
	w.StartIncarnation(i, w.lastIncarnation, seeds...)
}

// StartLife begins a life of a given number.
func (w *Network) StartIncarnation(i int, life uint64, seeds ...int) {
	c, err := gossip.NewCore(w.config, MemberID(i), MemberID(i), life, w.seed+uint64(i)+life<<20, func(*gossip.Statement) {})
	if err != nil {
		panic(err) // a configuration that is wrong in the script itself
	}
	w.Cores[i] = c
	j := gossip.Join{}
	for _, s := range seeds {
		j.Addresses = append(j.Addresses, MemberID(s))
	}
	w.Step(i, j)
}

// StartAll starts every core; each knows all others from the beginning where known is set, or joins by two.
func (w *Network) StartAll(known bool) {
	if !known {
		for i := range w.Cores {
			w.Start(i, 0, len(w.Cores)/2)
		}
		return
	}
	words := make([]gossip.Statement, len(w.Cores))
	for i := range w.Cores {
		words[i] = gossip.Statement{Kind: gossip.MemberAlive, Signer: MemberID(i), Incarnation: uint64(i + 2), Seq: 1, Text: MemberID(i)}
	}
	for i := range w.Cores {
		w.Start(i)
		w.Step(i, gossip.KnownMembers{Statements: words})
		w.Cores[i].MarkAllDirect()
	}
}

// Stop ends a core without a word.
func (w *Network) Stop(i int) { w.Cores[i] = nil }

// Do hands events to a core now.
func (w *Network) Step(i int, events ...gossip.Event) {
	c := w.Cores[i]
	w.perform(i, c.Step(w.Now+w.ClockSkew[i], events))
	w.setTimer(i)
}

// arm plans a core's next wake.
func (w *Network) setTimer(i int) {
	at := max(w.Cores[i].Due()-w.ClockSkew[i], w.Now)
	if w.timerAt[i] > w.Now && w.timerAt[i] <= at {
		return // an earlier wake is planned, and will look again
	}
	w.timerAt[i] = at
	w.eventSeq++
	heap.Push(&w.queue, event{at: at, seq: w.eventSeq, to: i, from: i})
}

// Inject delivers a message to a core now, whoever sent it.
func (w *Network) Inject(to int, m gossip.Message) {
	w.Step(to, w.wantedPart(to, m))
}

// read leaves out the statements that the core does not want, as its caller would.
func (w *Network) wantedPart(to int, m gossip.Message) gossip.MessageReceived {
	var keep []gossip.Statement
	for _, s := range m.Statements {
		if w.Cores[to].Wants(&s) {
			keep = append(keep, s)
		}
	}
	m.Statements = keep
	return gossip.MessageReceived{Message: m}
}

func (w *Network) perform(from int, out []gossip.Action) {
	for _, a := range out {
		s, ok := a.(gossip.Send)
		if !ok {
			if w.OnAction != nil {
				w.OnAction(from, a)
			}
			continue
		}
		t := &w.Sent[from]
		size := float64(s.Message.Size())
		t.Bytes, t.Messages = t.Bytes+size, t.Messages+1
		if sec := w.Now / time.Second; sec != t.second {
			t.second, t.bytesInSecond = sec, 0
		}
		t.bytesInSecond += size
		t.PeakBytes = max(t.PeakBytes, t.bytesInSecond)
		to, known := w.index[s.To]
		if !known || w.Partitioned != nil && w.Partitioned(from, to) || !s.Stream && w.rng.Float64() < w.Loss {
			continue
		}
		for range 1 + w.copies() {
			w.eventSeq++
			heap.Push(&w.queue, event{at: w.Now + w.Delay(from, to), seq: w.eventSeq, to: to, from: from, message: &s.Message})
		}
	}
}

func (w *Network) copies() int {
	if w.Duplicated > 0 && w.rng.Float64() < w.Duplicated {
		return 1
	}
	return 0
}

// Run plays for a while.
func (w *Network) Run(span time.Duration) {
	end := w.Now + span
	for len(w.queue) > 0 && w.queue[0].at <= end {
		e, _ := heap.Pop(&w.queue).(event)
		w.Now = max(w.Now, e.at)
		c := w.Cores[e.to]
		switch {
		case c == nil:
		case e.message != nil:
			w.Step(e.to, w.wantedPart(e.to, *e.message))
		case c.Due()-w.ClockSkew[e.to] <= w.Now:
			w.Step(e.to)
		case e.at >= w.timerAt[e.to]:
			w.setTimer(e.to)
		}
	}
	w.Now = end
}

// Alive counts the members that each running core has alive: the least and the most.
func (w *Network) AliveRange() (least, most int) {
	least = 1 << 30
	for _, c := range w.Cores {
		if c == nil {
			continue
		}
		n := 0
		for _, m := range c.Members() {
			if m.State == gossip.Alive {
				n++
			}
		}
		least, most = min(least, n), max(most, n)
	}
	return least, most
}
