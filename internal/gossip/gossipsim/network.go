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
	Now   time.Duration
	Cores []*gossip.Core // nil: not running
	Loss  float64        // share of the datagrams that is lost
	Twice float64        // share that comes twice
	Delay func(from, to int) time.Duration
	Cut   func(from, to int) bool // the way from one to another is cut, for streams too
	Sent  []Traffic
	Told  func(by int, action gossip.Action) // told of each action but Sends
	Skew  []time.Duration          // by which each clock is off

	cfg    gossip.Config
	rng    *rand.Rand
	seed   uint64
	lives  uint64
	index  map[string]int
	q      queue
	n      uint64
	wakeAt []time.Duration
}

// Traffic is what one core has sent.
type Traffic struct {
	Bytes, Messages float64
	Peak            float64 // most bytes in any second, by full seconds
	second          time.Duration
	inSecond        float64
}

type event struct {
	at   time.Duration
	n    uint64
	to   int
	from int
	m    *gossip.Message // nil: a wake
}

type queue []event

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].n < q[j].n
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *queue) Push(x any) { e, _ := x.(event); *q = append(*q, e) }

// Pop implements heap.Interface.
func (q *queue) Pop() any { o := *q; e := o[len(o)-1]; *q = o[:len(o)-1]; return e }

// New returns a network of n cores that are not yet running.
func New(cfg gossip.Config, n int, seed uint64) *Network {
	w := &Network{cfg: cfg, seed: seed, rng: rand.New(rand.NewPCG(seed, 3)), index: map[string]int{}, lives: 1,
		Cores: make([]*gossip.Core, n), Sent: make([]Traffic, n), Skew: make([]time.Duration, n),
		wakeAt: make([]time.Duration, n)}
	for i := range n {
		w.index[ID(i)] = i
	}
	w.Delay = func(int, int) time.Duration {
		return time.Duration((1 + 4*w.rng.Float64()) * float64(time.Millisecond))
	}
	return w
}

// ID is a core's name and address.
func ID(i int) string { return fmt.Sprintf("r%04d", i) }

// Start begins a core's next life. An address list makes it join there.
func (w *Network) Start(i int, seeds ...int) {
	w.lives++
	w.StartLife(i, w.lives, seeds...)
}

// StartLife begins a life of a given number.
func (w *Network) StartLife(i int, life uint64, seeds ...int) {
	c, err := gossip.NewCore(w.cfg, ID(i), ID(i), life, w.seed+uint64(i)+life<<20, func(*gossip.Statement) {})
	if err != nil {
		panic(err) // a configuration that is wrong in the script itself
	}
	w.Cores[i] = c
	j := gossip.Join{}
	for _, s := range seeds {
		j.Addresses = append(j.Addresses, ID(s))
	}
	w.Do(i, j)
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
		words[i] = gossip.Statement{Kind: gossip.MemberAlive, Signer: ID(i), Incarnation: uint64(i + 2), Seq: 1, Text: ID(i)}
	}
	for i := range w.Cores {
		w.Start(i)
		w.Do(i, gossip.KnownMembers{Statements: words})
		w.Cores[i].MarkAllDirect()
	}
}

// Stop ends a core without a word.
func (w *Network) Stop(i int) { w.Cores[i] = nil }

// Do hands events to a core now.
func (w *Network) Do(i int, events ...gossip.Event) {
	c := w.Cores[i]
	w.act(i, c.Step(w.Now+w.Skew[i], events))
	w.arm(i)
}

// arm plans a core's next wake.
func (w *Network) arm(i int) {
	at := max(w.Cores[i].Due()-w.Skew[i], w.Now)
	if w.wakeAt[i] > w.Now && w.wakeAt[i] <= at {
		return // an earlier wake is planned, and will look again
	}
	w.wakeAt[i] = at
	w.n++
	heap.Push(&w.q, event{at: at, n: w.n, to: i, from: i})
}

// Inject delivers a message to a core now, whoever sent it.
func (w *Network) Inject(to int, m gossip.Message) {
	w.Do(to, w.read(to, m))
}

// read leaves out the statements that the core does not want, as its caller would.
func (w *Network) read(to int, m gossip.Message) gossip.MessageReceived {
	var keep []gossip.Statement
	for _, s := range m.Statements {
		if w.Cores[to].Wants(&s) {
			keep = append(keep, s)
		}
	}
	m.Statements = keep
	return gossip.MessageReceived{Message: m}
}

func (w *Network) act(from int, out []gossip.Action) {
	for _, a := range out {
		s, ok := a.(gossip.Send)
		if !ok {
			if w.Told != nil {
				w.Told(from, a)
			}
			continue
		}
		t := &w.Sent[from]
		size := float64(s.Message.Size())
		t.Bytes, t.Messages = t.Bytes+size, t.Messages+1
		if sec := w.Now / time.Second; sec != t.second {
			t.second, t.inSecond = sec, 0
		}
		t.inSecond += size
		t.Peak = max(t.Peak, t.inSecond)
		to, known := w.index[s.To]
		if !known || w.Cut != nil && w.Cut(from, to) || !s.Stream && w.rng.Float64() < w.Loss {
			continue
		}
		for range 1 + w.twice() {
			w.n++
			heap.Push(&w.q, event{at: w.Now + w.Delay(from, to), n: w.n, to: to, from: from, m: &s.Message})
		}
	}
}

func (w *Network) twice() int {
	if w.Twice > 0 && w.rng.Float64() < w.Twice {
		return 1
	}
	return 0
}

// Run plays for a while.
func (w *Network) Run(span time.Duration) {
	end := w.Now + span
	for len(w.q) > 0 && w.q[0].at <= end {
		e, _ := heap.Pop(&w.q).(event)
		w.Now = max(w.Now, e.at)
		c := w.Cores[e.to]
		switch {
		case c == nil:
		case e.m != nil:
			w.Do(e.to, w.read(e.to, *e.m))
		case c.Due()-w.Skew[e.to] <= w.Now:
			w.Do(e.to)
		case e.at >= w.wakeAt[e.to]:
			w.arm(e.to)
		}
	}
	w.Now = end
}

// Alive counts the members that each running core has alive: the least and the most.
func (w *Network) Alive() (least, most int) {
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
