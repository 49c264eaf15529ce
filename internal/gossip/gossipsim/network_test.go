package gossipsim

import (
	"fmt"
	"testing"
	"time"

	"github.com/topazfront/topazfront/internal/gossip"
)

// deathTimes holds when members declared others dead, by the ID of the dead member and the index of the other.
type deathTimes map[string]map[int]time.Duration

// recordDeaths starts to record the deaths that members detect.
func recordDeaths(network *Network) deathTimes {
	deaths := deathTimes{}
	network.OnAction = func(by int, action gossip.Action) {
		if change, ok := action.(gossip.MemberStateChanged); ok && change.State == gossip.Dead {
			if deaths[change.ID] == nil {
				deaths[change.ID] = map[int]time.Duration{}
			}
			deaths[change.ID][by] = network.Now
		}
	}
	return deaths
}

func TestAllMembersFindEachOther(t *testing.T) {
	for _, n := range []int{2, 10, 60} {
		t.Run(fmt.Sprint(n, " members"), func(t *testing.T) {
			network := NewNetwork(gossip.LocalConfig, n, 1)
			network.StartAll(false)
			network.Run(40 * time.Second)
			if least, most := network.AliveRange(); least != n-1 || most != n-1 {
				t.Errorf("each knows %d to %d others", least, most)
			}
		})
	}
}

func TestDeathIsDetectedByAll(t *testing.T) {
	network := NewNetwork(gossip.LocalConfig, 40, 2)
	network.Loss = 0.05
	network.StartAll(false)
	network.Run(40 * time.Second)
	deaths := recordDeaths(network)
	network.Stop(7)
	began := network.Now
	network.Run(60 * time.Second)
	if got := len(deaths[MemberID(7)]); got != 39 {
		t.Errorf("the death was detected by %d of 39", got)
	}
	for by, at := range deaths[MemberID(7)] {
		if at-began > 45*time.Second {
			t.Errorf("%d detected it after %v", by, at-began)
		}
	}
	if len(deaths) > 1 {
		t.Errorf("others were declared dead: %v", deaths)
	}
}

// TestDetectionAtThirtyPercentLoss checks that with 30 % of the datagrams lost at most one running member is declared
// dead and none for long, and that a death is still detected.
func TestDetectionAtThirtyPercentLoss(t *testing.T) {
	network := NewNetwork(gossip.LocalConfig, 30, 5)
	network.Loss, network.Duplication = 0.3, 0.2
	network.StartAll(false)
	network.Run(30 * time.Second)
	deaths := recordDeaths(network)
	network.Run(60 * time.Second)
	for i, c := range network.Cores { // suspicions are frequent, but refuted in time
		if live := c.Live(); live < 29 {
			t.Errorf("%d has only %d of 30 live", i, live)
		}
	}
	if len(deaths) > 1 {
		t.Errorf("%d members were declared dead by others", len(deaths))
	}
	deaths = recordDeaths(network)
	network.Stop(3)
	network.Run(90 * time.Second)
	if got := len(deaths[MemberID(3)]); got != 29 {
		t.Errorf("the death was detected by %d of 29", got)
	}
}

func TestPartitionHeals(t *testing.T) {
	network := NewNetwork(gossip.LocalConfig, 20, 3)
	network.StartAll(false)
	network.Run(30 * time.Second)
	liveBefore := network.Cores[0].Live()
	network.Partitioned = func(from, to int) bool { return (from < 10) != (to < 10) }
	network.Run(60 * time.Second)
	if _, most := network.AliveRange(); most != 9 {
		t.Errorf("in the partition somebody has %d others alive, want 9", most)
	}
	if liveBefore != 20 || network.Cores[0].Live() != 10 || network.Cores[19].Live() != 10 {
		t.Errorf("live counts: %d, then %d and %d on the sides", liveBefore, network.Cores[0].Live(), network.Cores[19].Live())
	}
	network.Partitioned = nil
	network.Run(90 * time.Second)
	if least, _ := network.AliveRange(); least != 19 {
		t.Errorf("afterwards somebody has only %d others alive", least)
	}
}

// TestIndirectProbesCoverOneWayLink checks that if messages from one member to another are lost, indirect probes keep
// both from being declared dead.
func TestIndirectProbesCoverOneWayLink(t *testing.T) {
	network := NewNetwork(gossip.LocalConfig, 12, 4)
	network.StartAll(false)
	network.Run(20 * time.Second)
	deaths := recordDeaths(network)
	network.Partitioned = func(from, to int) bool { return from == 2 && to == 5 }
	network.Run(60 * time.Second)
	if len(deaths) > 0 {
		t.Errorf("declared dead: %v", deaths)
	}
}

// TestFlappingMemberAndMassRestart checks that a member that repeatedly stops and restarts is known again, and that all
// members find each other within a minute after all have restarted.
func TestFlappingMemberAndMassRestart(t *testing.T) {
	network := NewNetwork(gossip.LocalConfig, 20, 6)
	network.StartAll(false)
	network.Run(20 * time.Second)
	for range 6 {
		network.Stop(4)
		network.Run(4 * time.Second)
		network.Start(4, 0)
		network.Run(3 * time.Second)
	}
	network.Run(20 * time.Second)
	if least, _ := network.AliveRange(); least != 19 {
		t.Errorf("after flaps somebody has %d alive", least)
	}
	for i := range 20 {
		network.Stop(i)
	}
	for i := range 20 {
		network.Start(i, 0, 10)
	}
	network.Run(40 * time.Second)
	if least, _ := network.AliveRange(); least != 19 {
		t.Errorf("after a restart of all somebody has %d alive", least)
	}
}

// TestClockOffsetsAndClockSetBack checks that the age of a statement is right between members with different clocks,
// and that a member that restarts with a lower incarnation learns of its earlier one and is known again.
func TestClockOffsetsAndClockSetBack(t *testing.T) {
	network := NewNetwork(gossip.LocalConfig, 10, 7)
	for i := range network.ClockSkew {
		network.ClockSkew[i] = time.Duration(i) * 5 * time.Hour
	}
	network.StartAll(false)
	network.Run(30 * time.Second)
	var ages []time.Duration
	network.OnAction = func(_ int, action gossip.Action) {
		if received, ok := action.(gossip.EvidenceReceived); ok {
			ages = append(ages, received.Age)
		}
	}
	network.Step(2, gossip.Publish{Statement: gossip.Statement{Kind: gossip.WorkerSilent, Subject: "w"}})
	network.Run(3 * time.Second)
	if len(ages) != 9 {
		t.Errorf("%d of 9 received the claim", len(ages))
	}
	for _, a := range ages {
		if a < 0 || a > 2*time.Second {
			t.Errorf("age estimated as %v", a)
		}
	}
	network.Stop(3)
	network.Run(2 * time.Second)
	network.StartIncarnation(3, 1, 0) // as if its clock had been set back
	network.Run(30 * time.Second)
	if least, _ := network.AliveRange(); least != 9 {
		t.Errorf("somebody has %d alive", least)
	}
}

// inject delivers a message to a core at the current time.
func inject(network *Network, to int, m gossip.Message) {
	network.Step(to, network.withWantedStatements(to, m))
}

// TestBudgetHoldsUnderFlood checks that a core stays within its budget while flooded with messages that request
// replies.
func TestBudgetHoldsUnderFlood(t *testing.T) {
	network := NewNetwork(gossip.LocalConfig, 10, 8)
	network.StartAll(false)
	network.Run(10 * time.Second)
	begin, base := network.Now, network.Sent[0]
	for i := range 20000 {
		inject(network, 0, gossip.Message{Kind: gossip.MessageKind(i % 5), WantAlive: true, From: MemberID(1 + i%9), Addr: MemberID(1 + i%9), Incarnation: 100,
			ProbeSeq: uint64(i), Target: MemberID(i % 10)})
		if i%100 == 0 {
			network.Run(50 * time.Millisecond)
		}
	}
	span := (network.Now - begin).Seconds()
	cfg := gossip.LocalConfig
	if got := network.Sent[0].Bytes - base.Bytes; got > cfg.BurstBytes+cfg.BytesPerSecond*span {
		t.Errorf("%.0f bytes in %.0f s", got, span)
	}
	if got := network.Sent[0].Messages - base.Messages; got > cfg.BurstMessages+cfg.MessagesPerSecond*span {
		t.Errorf("%.0f messages in %.0f s", got, span)
	}
	network.Run(20 * time.Second)
	if least, _ := network.AliveRange(); least < 9 {
		t.Errorf("somebody has %d alive", least)
	}
}

// TestAllOtherMembersSilent checks that the last running member sends at most a quarter of its budget, and that it finds
// the others again when they restart.
func TestAllOtherMembersSilent(t *testing.T) {
	network := NewNetwork(gossip.LocalConfig, 12, 9)
	network.StartAll(false)
	network.Run(20 * time.Second)
	for i := 1; i < 12; i++ {
		network.Stop(i)
	}
	base := network.Sent[0].Bytes
	network.Run(6 * time.Minute) // its probes slow down, as all of them fail
	if n := network.Cores[0].Live(); n != 1 {
		t.Errorf("%d live of one", n)
	}
	if rate := (network.Sent[0].Bytes - base) / 360; rate > gossip.LocalConfig.BytesPerSecond/4 {
		t.Errorf("the last member sends %.0f bytes a second", rate)
	}
	for i := 1; i < 12; i++ {
		network.Start(i, 0)
	}
	network.Run(40 * time.Second)
	if least, _ := network.AliveRange(); least != 11 {
		t.Errorf("afterwards somebody has %d alive", least)
	}
}

// TestSameSeedGivesSameResult checks that a trial with the same seed gives the same result.
func TestSameSeedGivesSameResult(t *testing.T) {
	trial := Trial{Members: 20, Loss: 0.05, SlowShare: 0.1, Seed: 4, WarmUp: 5 * time.Second, Steady: 5 * time.Second, DetectionWindow: 20 * time.Second}
	a, b := trial.Run(), trial.Run()
	a.WallSeconds, b.WallSeconds = 0, 0
	if a != b {
		t.Errorf("%+v\n%+v", a, b)
	}
	if a.Reached < 0.9 || a.FirstDetection <= 0 || a.BytesPerSecond <= 0 || a.BytesPerSecond > gossip.LocalConfig.BytesPerSecond {
		t.Errorf("%+v", a)
	}
}

// AliveRange returns the lowest and the highest number of other members that a running core considers alive.
func (nw *Network) AliveRange() (least, most int) {
	least = 1 << 30
	for _, core := range nw.Cores {
		if core == nil {
			continue
		}
		n := 0
		for _, m := range core.Members() {
			if m.State == gossip.Alive {
				n++
			}
		}
		least, most = min(least, n), max(most, n)
	}
	return least, most
}
