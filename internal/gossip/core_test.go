package gossip

import (
	"bytes"
	"container/heap"
	"crypto/ed25519"
	"errors"
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"
)

// packet is one on its way in the simulated network.
type packet struct {
	at time.Duration
	n  int
	to string
	m  Message
}

type queue []packet

func (q queue) Len() int           { return len(q) }
func (q queue) Less(i, j int) bool { return q[i].at < q[j].at || q[i].at == q[j].at && q[i].n < q[j].n }
func (q queue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)        { p, _ := x.(packet); *q = append(*q, p) }
func (q *queue) Pop() any          { o := *q; p := o[len(o)-1]; *q = o[:len(o)-1]; return p }

// network plays many cores by a script's clock, with loss and delay from a seed.
type network struct {
	t       *testing.T
	rng     *rand.Rand
	now     time.Duration
	cores   map[string]*Core
	names   []string
	q       queue
	n       int
	loss    float64
	cut     func(from, to string) bool
	sent    map[string]float64                  // bytes
	deaths  map[string]map[string]time.Duration // of whom, seen by whom
	maxRate float64
}

func newNetwork(t *testing.T, n int, seed uint64) *network {
	w := &network{t: t, rng: rand.New(rand.NewPCG(seed, 3)), cores: map[string]*Core{}, sent: map[string]float64{},
		deaths: map[string]map[string]time.Duration{}}
	for i := range n {
		name := fmt.Sprintf("r%04d", i)
		c, err := New(Local, name, name, 1, seed+uint64(i))
		if err != nil {
			t.Fatal(err)
		}
		w.names = append(w.names, name)
		w.cores[name] = c
	}
	for _, name := range w.names {
		w.act(name, w.cores[name].Step(0, []any{Join{Addrs: []string{w.names[0], w.names[n/2]}}}))
	}
	return w
}

func (w *network) act(from string, out []any) {
	for _, a := range out {
		switch a := a.(type) {
		case Send:
			if a.Message.Size() > Local.PacketBytes {
				w.t.Fatalf("a packet of %d bytes", a.Message.Size())
			}
			w.sent[from] += float64(a.Message.Size())
			if w.rng.Float64() < w.loss || w.cut != nil && w.cut(from, a.To) {
				continue
			}
			w.n++
			heap.Push(&w.q, packet{w.now + time.Duration((1+4*w.rng.Float64())*float64(time.Millisecond)), w.n, a.To, a.Message})
		case Change:
			if a.State == Dead {
				if w.deaths[a.ID] == nil {
					w.deaths[a.ID] = map[string]time.Duration{}
				}
				w.deaths[a.ID][from] = w.now
			}
		}
	}
}

// run plays for a while in steps of ten milliseconds; budgets are checked at each.
func (w *network) run(span time.Duration) {
	begin, base := w.now, map[string]float64{}
	for k, v := range w.sent {
		base[k] = v
	}
	for end := w.now + span; w.now < end; {
		w.now += 10 * time.Millisecond
		in := map[string][]any{}
		for len(w.q) > 0 && w.q[0].at <= w.now {
			p, _ := heap.Pop(&w.q).(packet)
			in[p.to] = append(in[p.to], Received{p.m})
		}
		for _, name := range w.names {
			if c := w.cores[name]; c != nil && (len(in[name]) > 0 || c.Due() <= w.now) {
				w.act(name, c.Step(w.now, in[name]))
			}
			if got := w.sent[name] - base[name]; got > Local.BurstBytes+Local.BytesPerSecond*(w.now-begin).Seconds()+1 {
				w.t.Fatalf("%s sent %.0f bytes in %v", name, got, w.now-begin)
			}
		}
	}
}

// alive counts the members that each core has alive; it returns the least and the most.
func (w *network) alive() (least, most int) {
	least = 1 << 30
	for _, c := range w.cores {
		n := 0
		for _, m := range c.Members() {
			if m.State == Alive {
				n++
			}
		}
		least, most = min(least, n), max(most, n)
	}
	return least, most
}

func TestEachFindsEach(t *testing.T) {
	for _, n := range []int{2, 10, 60} {
		w := newNetwork(t, n, 1)
		w.run(40 * time.Second)
		if least, most := w.alive(); least != n-1 || most != n-1 {
			t.Errorf("of %d members each knows %d to %d others", n, least, most)
		}
	}
}

func TestDeathIsSeenByAllAndNobodyElseDies(t *testing.T) {
	w := newNetwork(t, 40, 2)
	w.loss = 0.05
	w.run(40 * time.Second)
	delete(w.cores, "r0007")
	began := w.now
	w.run(60 * time.Second)
	if got := len(w.deaths["r0007"]); got != 39 {
		t.Errorf("the death is seen by %d of 39", got)
	}
	for by, at := range w.deaths["r0007"] {
		if at-began > 45*time.Second {
			t.Errorf("%s saw it after %v", by, at-began)
		}
	}
	if len(w.deaths) > 1 {
		t.Errorf("others were held to be dead: %v", w.deaths)
	}
}

func TestPartitionHeals(t *testing.T) {
	w := newNetwork(t, 20, 3)
	w.run(30 * time.Second)
	side := func(s string) bool { return s < "r0010" }
	w.cut = func(from, to string) bool { return side(from) != side(to) }
	w.run(60 * time.Second)
	if _, most := w.alive(); most != 9 {
		t.Errorf("in the partition somebody has %d others alive, want 9", most)
	}
	w.cut = nil
	w.run(90 * time.Second)
	if least, _ := w.alive(); least != 19 {
		t.Errorf("afterwards somebody has only %d others alive", least)
	}
}

// TestLiesAboutAMemberAreRefuted has one member say over and over that another is dead.
func TestLiesAboutAMemberAreRefuted(t *testing.T) {
	w := newNetwork(t, 10, 4)
	w.run(20 * time.Second)
	for range 20 {
		inc := uint64(0)
		for _, m := range w.cores["r0000"].Members() {
			if m.ID == "r0005" {
				inc = m.Incarnation
			}
		}
		w.act("r0001", w.cores["r0001"].Step(w.now, []any{Received{Message{Kind: Ack, From: "r0009", Addr: "r0009",
			Rumours: []Rumour{{ID: "r0005", Addr: "r0005", State: Dead, Incarnation: inc, By: "r0009"}}}}}))
		w.run(2 * time.Second)
	}
	w.run(20 * time.Second)
	if least, _ := w.alive(); least != 9 {
		t.Errorf("somebody has only %d others alive", least)
	}
}

// TestSuspicionAlwaysEnds: in death, or by the member's own word.
func TestSuspicionAlwaysEnds(t *testing.T) {
	c, err := New(Local, "a", "a", 1, 1)
	if err != nil {
		t.Fatal(err)
	}
	word := func(s State, inc uint64) Received {
		return Received{Message{Kind: Ack, From: "b", Addr: "b", Rumours: []Rumour{{ID: "x", Addr: "x", State: s, Incarnation: inc, By: "b"}}}}
	}
	state := func() State {
		for _, m := range c.Members() {
			if m.ID == "x" {
				return m.State
			}
		}
		return Dead
	}
	c.Step(0, []any{word(Alive, 1), word(Suspect, 1)})
	if state() != Suspect {
		t.Fatal("not suspected")
	}
	c.Step(time.Second, []any{word(Alive, 1)}) // no higher incarnation: not its own word
	if state() != Suspect {
		t.Fatal("old word ended a suspicion")
	}
	c.Step(2*time.Second, []any{word(Alive, 2)})
	if state() != Alive {
		t.Fatal("its own word did not")
	}
	c.Step(3*time.Second, []any{word(Suspect, 2)})
	for now := 3 * time.Second; now < 60*time.Second; now += 100 * time.Millisecond {
		c.Step(now, nil)
	}
	if state() != Dead {
		t.Error("a suspicion without an end")
	}
}

func keys(t *testing.T, seed byte) (ed25519.PrivateKey, ed25519.PublicKey) {
	t.Helper()
	k := ed25519.NewKeyFromSeed(bytes.Repeat([]byte{seed}, ed25519.SeedSize))
	pub, _ := k.Public().(ed25519.PublicKey)
	return k, pub
}

func TestSignedPackets(t *testing.T) {
	own, pub := keys(t, 1)
	other, _ := keys(t, 2)
	a, b := NewKeys("k1", own, 100), NewKeys("k9", other, 100)
	b.Admit("a", "k1", pub)
	m := Message{Kind: Ping, Seq: 7, From: "a", Addr: "1.2.3.4:5", Rumours: []Rumour{{ID: "x", Addr: "y", State: Suspect, Incarnation: 9, By: "z"}}}
	p, err := a.Seal(m)
	if err != nil || len(p) > m.Size() {
		t.Fatalf("%d bytes, counted as %d, %v", len(p), m.Size(), err)
	}
	m.Count = 101
	if got, err := b.Open(p); err != nil || !reflect.DeepEqual(got, m) {
		t.Fatalf("%+v, %v", got, err)
	}
	if _, err := b.Open(p); !errors.Is(err, ErrReplay) {
		t.Errorf("a packet that came before: %v", err)
	}
	for i := range p { // any byte changed
		q := bytes.Clone(p)
		q[i] ^= 1
		if _, err := b.Open(q); err == nil {
			t.Fatalf("byte %d changed, and taken", i)
		}
	}
	forged, err := NewKeys("k1", other, 200).Seal(m)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := b.Open(forged); !errors.Is(err, ErrSignature) {
		t.Errorf("signed by another: %v", err)
	}
	if _, err := b.Open(p[:20]); !errors.Is(err, ErrMalformed) {
		t.Errorf("cut: %v", err)
	}
	b.Drop("a", "k1")
	if _, err := b.Open(p); !errors.Is(err, ErrUnknownKey) {
		t.Errorf("a key taken out: %v", err)
	}
}

// TestReplays: each packet is taken once, late ones too while they are not long behind.
func TestReplays(t *testing.T) {
	own, pub := keys(t, 1)
	a, b := NewKeys("k", own, 1<<40), NewKeys("k", own, 0)
	b.Admit("a", "k", pub)
	var packets [][]byte
	for range 200 {
		p, err := a.Seal(Message{Kind: Ping, From: "a"})
		if err != nil {
			t.Fatal(err)
		}
		packets = append(packets, p)
	}
	for _, c := range []struct {
		i     int
		fresh bool
	}{{0, true}, {0, false}, {5, true}, {3, true}, {3, false}, {5, false}, {4, true}, {100, true}, {99, true}, {37, true},
		{36, false}, {4, false}, {199, true}, {100, false}, {198, true}, {198, false}} {
		if _, err := b.Open(packets[c.i]); (err == nil) != c.fresh {
			t.Errorf("packet %d: %v, want it fresh: %v", c.i, err, c.fresh)
		}
	}
	// A member that started anew counts from a later time.
	again := NewKeys("k", own, 1<<41)
	p, err := again.Seal(Message{Kind: Ping, From: "a"})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := b.Open(p); err != nil {
		t.Errorf("a new life: %v", err)
	}
}

func FuzzParse(f *testing.F) {
	m := Message{Kind: Help, Seq: 300, From: "a", Addr: "b", Target: "c", Rumours: []Rumour{{ID: "x", State: Dead, Incarnation: 1 << 40}}}
	raw, err := m.Append(nil)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(raw)
	f.Add([]byte{1, 0, 0, 1, 'a', 0, 0})
	f.Fuzz(func(t *testing.T, b []byte) {
		m, err := Parse(b)
		if err != nil {
			return
		}
		out, err := m.Append(nil)
		if err != nil {
			t.Fatal(err)
		}
		if again, err := Parse(out); err != nil || !reflect.DeepEqual(again, m) {
			t.Fatalf("%+v became %+v, %v", m, again, err)
		}
		c, err := New(Local, "me", "me", 1, 1)
		if err != nil {
			t.Fatal(err)
		}
		c.Step(time.Second, []any{Received{m}, Received{m}})
		c.Step(time.Minute, nil)
	})
}
