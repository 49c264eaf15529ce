package agent

import (
	"maps"
	"slices"

	"github.com/topazfront/topazfront/internal/gossip"
)

// Dropped counts received packets and statements that were dropped, by reason.
type Dropped struct {
	RateLimited  uint64 `json:"over_the_limit"` // over the rate limit of signature verifications of the source
	Malformed    uint64 `json:"malformed"`
	UnknownKey   uint64 `json:"unknown_key"`
	BadSignature uint64 `json:"bad_signature"`
	Replayed     uint64 `json:"replayed"`
	QueueFull    uint64 `json:"queue_full"`
	Statements   uint64 `json:"statements"` // in authentic packets: with an invalid signature or over the rate limit
}

// TotalPackets returns the number of dropped packets.
func (d Dropped) TotalPackets() uint64 {
	return d.RateLimited + d.Malformed + d.UnknownKey + d.BadSignature + d.Replayed + d.QueueFull
}

// Add returns the sum of d and o.
func (d Dropped) Add(o Dropped) Dropped {
	return Dropped{
		RateLimited:  d.RateLimited + o.RateLimited,
		Malformed:    d.Malformed + o.Malformed,
		UnknownKey:   d.UnknownKey + o.UnknownKey,
		BadSignature: d.BadSignature + o.BadSignature,
		Replayed:     d.Replayed + o.Replayed,
		QueueFull:    d.QueueFull + o.QueueFull,
		Statements:   d.Statements + o.Statements,
	}
}

// Status is a snapshot of an agent's state and counters.
type Status struct {
	ID            string                      `json:"id"`
	Addr          string                      `json:"address"`
	Key           string                      `json:"key"` // name of the signing key
	Members       int                         `json:"members"`
	Live          int                         `json:"live"`
	MostLive      int                         `json:"most_live"`
	HealthPenalty int                         `json:"local_health"` // 0 is healthy; see gossip.Core.HealthPenalty
	Received      uint64                      `json:"received"`
	Core          gossip.Stats                `json:"core"`
	Quorum        gossip.SuspicionQuorumStats `json:"judge"`
	Dropped       Dropped                     `json:"dropped"`
}

// Peer describes another member, for operators.
type Peer struct {
	gossip.Member
	State  string   `json:"state"`
	Weight float64  `json:"weight"` // weight of its claims about workers
	Keys   []string `json:"keys"`
}

// KeyList holds the names of the signing key and of the admitted keys.
type KeyList struct {
	Own     string              `json:"own"` // name of this router's signing key
	Members map[string][]string `json:"members"`
}

// callLoop runs f in the loop and returns its result, or the zero value if the agent is closed.
func callLoop[T any](a *Agent, f func() T) (result T) {
	results := make(chan T, 1)
	if !a.enqueue(func() { results <- f() }) {
		return result
	}
	select {
	case result = <-results:
	case <-a.loopDone:
	}
	return result
}

// Status returns the agent's current state and counters.
func (a *Agent) Status() Status {
	return callLoop(a, func() Status {
		s := Status{
			ID:            a.cfg.ID,
			Addr:          a.addr,
			Key:           a.keys.OwnKeyName(),
			Members:       len(a.core.Members()),
			Live:          a.core.Live(),
			MostLive:      a.core.Stats().MostLive,
			HealthPenalty: a.core.HealthPenalty(),
			Received:      a.received,
			Core:          a.core.Stats(),
			Quorum:        a.quorum.Stats(),
			Dropped:       a.dropped,
		}
		a.mu.Lock()
		s.Dropped.QueueFull = a.queueFullDrops
		a.mu.Unlock()
		return s
	})
}

// Peers lists the known members.
func (a *Agent) Peers() []Peer {
	return callLoop(a, func() []Peer {
		var peers []Peer
		for _, m := range a.core.Members() {
			peers = append(peers, Peer{
				Member: m,
				State:  m.State.String(),
				Weight: a.quorum.Weight(m.ID),
				Keys:   slices.Sorted(maps.Keys(a.keys.AdmittedKeys(m.ID))),
			})
		}
		return peers
	})
}

// Suspicions lists the current claims about workers.
func (a *Agent) Suspicions() []gossip.Suspicion {
	return callLoop(a, func() []gossip.Suspicion { return a.quorum.Suspicions() })
}

// Keys lists the names of the signing key and of the admitted keys.
func (a *Agent) Keys() KeyList {
	return callLoop(a, func() KeyList {
		list := KeyList{Own: a.keys.OwnKeyName(), Members: map[string][]string{}}
		for id, keys := range a.cfg.Members {
			list.Members[id] = slices.Sorted(maps.Keys(keys))
		}
		return list
	})
}
