package gossipsim

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/topazfront/topazfront/internal/gossip"
)

// Trial is one size and its troubles.
type Trial struct {
	Members     int           `json:"members"`
	Loss        float64       `json:"loss"`
	SlowShare   float64       `json:"slow"` // share of the members that read what comes up to 2 s late
	Seed        uint64        `json:"seed"`
	WarmUp      time.Duration `json:"-"`
	Steady      time.Duration `json:"-"`
	FollowDeath time.Duration `json:"-"` // for which a death is followed
}

// Result is what a trial came to. Times are seconds.
type Result struct {
	Trial
	BytesPerSecond            float64 `json:"bytes_per_s"`      // of a member, with nothing new
	MessagesPerSecond         float64 `json:"messages_per_s"`   // likewise
	PeakBytesPerSecond        float64 `json:"peak_bytes_per_s"` // most of any member in any second
	SpreadTo50                float64 `json:"spread_half_s"`    // until half have heard a word of a worker,
	SpreadTo99                float64 `json:"spread_99_s"`      // and 99 of 100
	Reached                   float64 `json:"reached"`          // share that heard it at all
	FirstDeath                float64 `json:"death_first_s"`    // until the first holds a silent member to be dead,
	DeathTo99                 float64 `json:"death_99_s"`       // and 99 of 100
	FalseDeaths               int     `json:"false_deaths"`     // members, slow ones too, that at least one held to be dead
	SuspicionsPerMemberMinute float64 `json:"suspicions_per_member_minute"`
	WallSeconds               float64 `json:"wall_s"`
}

// Run plays a trial: all know each other; a steady while; a word of a worker; a death.
func (t Trial) Run() Result {
	began := time.Now()
	w := NewNetwork(gossip.LocalConfig, t.Members, t.Seed)
	w.Loss = t.Loss
	slow := make([]bool, t.Members)
	rng := rand.New(rand.NewPCG(t.Seed, 11))
	for _, i := range rng.Perm(t.Members)[:int(t.SlowShare*float64(t.Members))] {
		slow[i] = true
	}
	w.Delay = func(_, to int) time.Duration {
		d := time.Duration((1 + 4*rng.Float64()) * float64(time.Millisecond))
		if slow[to] {
			d += time.Duration(rng.Float64() * 2 * float64(time.Second))
		}
		return d
	}
	r := Result{Trial: t}
	gone := -1
	wrong := map[string]bool{}
	var heard, dead []float64
	var from time.Duration
	w.OnAction = func(_ int, a gossip.Action) {
		switch a := a.(type) {
		case gossip.EvidenceReceived:
			heard = append(heard, (w.Now - from).Seconds())
		case gossip.MemberStateChanged:
			if a.State == gossip.Dead && gone >= 0 && a.ID == MemberID(gone) {
				dead = append(dead, (w.Now - from).Seconds())
			} else if a.State == gossip.Dead {
				wrong[a.ID] = true
			}
		}
	}
	w.StartAll(true)
	w.Run(t.WarmUp)
	base, suspicions := w.totals()
	w.Run(t.Steady)
	sent, more := w.totals()
	r.BytesPerSecond = (sent.Bytes - base.Bytes) / t.Steady.Seconds() / float64(t.Members)
	r.MessagesPerSecond = (sent.Messages - base.Messages) / t.Steady.Seconds() / float64(t.Members)
	r.SuspicionsPerMemberMinute = float64(more-suspicions) / float64(t.Members) / t.Steady.Minutes()

	from = w.Now
	speaker := slices.Index(slow, false)
	w.Step(speaker, gossip.Publish{Statement: gossip.Statement{Kind: gossip.WorkerSilent, Subject: "worker"}})
	w.Run(gossip.LocalConfig.EvidenceLifetime)
	slices.Sort(heard)
	at := func(list []float64, share float64, of int) float64 {
		if k := int(share * float64(of)); k < len(list) {
			return list[k]
		}
		return -1
	}
	r.SpreadTo50, r.SpreadTo99 = at(heard, 0.5, t.Members-1), at(heard, 0.99, t.Members-1)
	r.Reached = float64(len(heard)) / float64(t.Members-1)

	from, gone = w.Now, speaker
	w.Stop(gone)
	w.Run(t.FollowDeath)
	slices.Sort(dead)
	r.FirstDeath, r.DeathTo99 = at(dead, 0, t.Members-1), at(dead, 0.99, t.Members-1)
	r.FalseDeaths = len(wrong)
	for _, s := range w.Sent {
		r.PeakBytesPerSecond = max(r.PeakBytesPerSecond, s.PeakBytes)
	}
	r.WallSeconds = time.Since(began).Seconds()
	return r
}

// totals sums what all have sent, and their suspicions.
func (w *Network) totals() (t Traffic, suspicions uint64) {
	for i, s := range w.Sent {
		t.Bytes += s.Bytes
		t.Messages += s.Messages
		if c := w.Cores[i]; c != nil {
			suspicions += c.Stats().Suspicions
		}
	}
	return t, suspicions
}
