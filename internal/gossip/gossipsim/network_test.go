package gossipsim

import (
	"testing"
	"time"

	"github.com/topazfront/topazfront/internal/gossip"
)

// deaths counts who holds whom to be dead, by their Change actions.
type deathsSeen map[string]map[int]time.Duration

func watchDeaths(w *Network) deathsSeen {
	d := deathsSeen{}
	w.OnAction = func(by int, a gossip.Action) {
		if c, ok := a.(gossip.MemberStateChanged); ok && c.State == gossip.Dead {
			if d[c.ID] == nil {
				d[c.ID] = map[int]time.Duration{}
			}
			d[c.ID][by] = w.Now
		}
	}
	return d
}

func TestAllMembersFindEachOther(t *testing.T) {
	for _, n := range []int{2, 10, 60} {
		w := NewNetwork(gossip.LocalConfig, n, 1)
		w.StartAll(false)
		w.Run(40 * time.Second)
		if least, most := w.AliveRange(); least != n-1 || most != n-1 {
			t.Errorf("of %d members each knows %d to %d others", n, least, most)
		}
	}
}

func TestDeathIsDetectedByAll(t *testing.T) {
	w := NewNetwork(gossip.LocalConfig, 40, 2)
	w.Loss = 0.05
	w.StartAll(false)
	w.Run(40 * time.Second)
	d := watchDeaths(w)
	w.Stop(7)
	began := w.Now
	w.Run(60 * time.Second)
	if got := len(d[MemberID(7)]); got != 39 {
		t.Errorf("the death is seen by %d of 39", got)
	}
	for by, at := range d[MemberID(7)] {
		if at-began > 45*time.Second {
			t.Errorf("%d saw it after %v", by, at-began)
		}
	}
	if len(d) > 1 {
		t.Errorf("others were held to be dead: %v", d)
	}
}

// TestThirtyPercentLoss: with nearly a third of the datagrams lost nobody is held to be dead for long, and a
// death is still seen.
func TestDetectionAtThirtyPercentLoss(t *testing.T) {
	w := NewNetwork(gossip.LocalConfig, 30, 5)
	w.Loss, w.Duplicated = 0.3, 0.2
	w.StartAll(false)
	w.Run(30 * time.Second)
	d := watchDeaths(w)
	w.Run(60 * time.Second)
	for i, c := range w.Cores { // suspicions are many, and are refuted in time
		if live := c.Live(); live < 29 {
			t.Errorf("%d has only %d of 30 live", i, live)
		}
	}
	if len(d) > 1 {
		t.Errorf("%d members were held to be dead by somebody", len(d))
	}
	d = watchDeaths(w)
	w.Stop(3)
	w.Run(90 * time.Second)
	if got := len(d[MemberID(3)]); got != 29 {
		t.Errorf("the death is seen by %d of 29", got)
	}
}

func TestPartitionHeals(t *testing.T) {
	w := NewNetwork(gossip.LocalConfig, 20, 3)
	w.StartAll(false)
	w.Run(30 * time.Second)
	lives := w.Cores[0].Live()
	w.Partitioned = func(from, to int) bool { return (from < 10) != (to < 10) }
	w.Run(60 * time.Second)
	if _, most := w.AliveRange(); most != 9 {
		t.Errorf("in the partition somebody has %d others alive, want 9", most)
	}
	if lives != 20 || w.Cores[0].Live() != 10 || w.Cores[19].Live() != 10 {
		t.Errorf("live counts: %d, then %d and %d on the sides", lives, w.Cores[0].Live(), w.Cores[19].Live())
	}
	w.Partitioned = nil
	w.Run(90 * time.Second)
	if least, _ := w.AliveRange(); least != 19 {
		t.Errorf("afterwards somebody has only %d others alive", least)
	}
}

// TestOneWayLink: what others carry for it keeps a member alive that can't send to one, or can't hear one.
func TestIndirectProbesCoverOneWayLink(t *testing.T) {
	w := NewNetwork(gossip.LocalConfig, 12, 4)
	w.StartAll(false)
	w.Run(20 * time.Second)
	d := watchDeaths(w)
	w.Partitioned = func(from, to int) bool { return from == 2 && to == 5 }
	w.Run(60 * time.Second)
	if len(d) > 0 {
		t.Errorf("held to be dead: %v", d)
	}
}

// TestFlapsAndMassRestart: members that come and go are followed, and a restart of all is over within a minute.
func TestFlappingMemberAndMassRestart(t *testing.T) {
	w := NewNetwork(gossip.LocalConfig, 20, 6)
	w.StartAll(false)
	w.Run(20 * time.Second)
	for range 6 {
		w.Stop(4)
		w.Run(4 * time.Second)
		w.Start(4, 0)
		w.Run(3 * time.Second)
	}
	w.Run(20 * time.Second)
	if least, _ := w.AliveRange(); least != 19 {
		t.Errorf("after flaps somebody has %d alive", least)
	}
	for i := range 20 {
		w.Stop(i)
	}
	for i := range 20 {
		w.Start(i, 0, 10)
	}
	w.Run(40 * time.Second)
	if least, _ := w.AliveRange(); least != 19 {
		t.Errorf("after a restart of all somebody has %d alive", least)
	}
}

// TestClocksHoursOffAndSetBack: clocks that differ don't matter; a member that starts anew with a lower life
// number is told of its earlier one and taken back.
func TestClockOffsetsAndClockSetBack(t *testing.T) {
	w := NewNetwork(gossip.LocalConfig, 10, 7)
	for i := range w.ClockSkew {
		w.ClockSkew[i] = time.Duration(i) * 5 * time.Hour
	}
	w.StartAll(false)
	w.Run(30 * time.Second)
	var ages []time.Duration
	w.OnAction = func(_ int, a gossip.Action) {
		if h, ok := a.(gossip.EvidenceReceived); ok {
			ages = append(ages, h.Age)
		}
	}
	w.Step(2, gossip.Publish{Statement: gossip.Statement{Kind: gossip.WorkerSilent, Subject: "w"}})
	w.Run(3 * time.Second)
	if len(ages) != 9 {
		t.Errorf("%d of 9 heard it", len(ages))
	}
	for _, a := range ages {
		if a < 0 || a > 2*time.Second {
			t.Errorf("taken to be %v old", a)
		}
	}
	w.Stop(3)
	w.Run(2 * time.Second)
	w.StartIncarnation(3, 1, 0) // as if its clock had been set back
	w.Run(30 * time.Second)
	if least, _ := w.AliveRange(); least != 9 {
		t.Errorf("somebody has %d alive", least)
	}
}

// TestBudgetHoldsWhateverPeersDo: one core is flooded with all that asks for answers, and stays within it.
func TestBudgetHoldsUnderFlood(t *testing.T) {
	w := NewNetwork(gossip.LocalConfig, 10, 8)
	w.StartAll(false)
	w.Run(10 * time.Second)
	begin, base := w.Now, w.Sent[0]
	for i := range 20000 {
		w.Inject(0, gossip.Message{Kind: gossip.MessageKind(i % 5), WantAlive: true, From: MemberID(1 + i%9), Addr: MemberID(1 + i%9), Incarnation: 100,
			ProbeSeq: uint64(i), Target: MemberID(i % 10)})
		if i%100 == 0 {
			w.Run(50 * time.Millisecond)
		}
	}
	span := (w.Now - begin).Seconds()
	cfg := gossip.LocalConfig
	if got := w.Sent[0].Bytes - base.Bytes; got > cfg.BurstBytes+cfg.BytesPerSecond*span {
		t.Errorf("%.0f bytes in %.0f s", got, span)
	}
	if got := w.Sent[0].Messages - base.Messages; got > cfg.BurstMessages+cfg.MessagesPerSecond*span {
		t.Errorf("%.0f messages in %.0f s", got, span)
	}
	w.Run(20 * time.Second)
	if least, _ := w.AliveRange(); least < 9 {
		t.Errorf("somebody has %d alive", least)
	}
}

// TestAllPeersSilent: the one that is left goes on within its budget, and takes them back when they come.
func TestAllOtherMembersSilent(t *testing.T) {
	w := NewNetwork(gossip.LocalConfig, 12, 9)
	w.StartAll(false)
	w.Run(20 * time.Second)
	for i := 1; i < 12; i++ {
		w.Stop(i)
	}
	base := w.Sent[0].Bytes
	w.Run(6 * time.Minute) // its own probes are slowed down, as all of them fail
	if n := w.Cores[0].Live(); n != 1 {
		t.Errorf("%d live of one", n)
	}
	if rate := (w.Sent[0].Bytes - base) / 360; rate > gossip.LocalConfig.BytesPerSecond/4 {
		t.Errorf("alone it sends %.0f bytes a second", rate)
	}
	for i := 1; i < 12; i++ {
		w.Start(i, 0)
	}
	w.Run(40 * time.Second)
	if least, _ := w.AliveRange(); least != 11 {
		t.Errorf("afterwards somebody has %d alive", least)
	}
}

// TestSameSeedSameDay: a trial comes to the same figures each time.
func TestSameSeedGivesSameResult(t *testing.T) {
	trial := Trial{Members: 20, Loss: 0.05, SlowShare: 0.1, Seed: 4, WarmUp: 5 * time.Second, Steady: 5 * time.Second, FollowDeath: 20 * time.Second}
	a, b := trial.Run(), trial.Run()
	a.WallSeconds, b.WallSeconds = 0, 0
	if a != b {
		t.Errorf("%+v\n%+v", a, b)
	}
	if a.Reached < 0.9 || a.FirstDeath <= 0 || a.BytesPerSecond <= 0 || a.BytesPerSecond > gossip.LocalConfig.BytesPerSecond {
		t.Errorf("%+v", a)
	}
}
