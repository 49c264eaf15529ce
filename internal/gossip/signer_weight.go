package gossip

import (
	"math"
	"time"
)

// This file keeps the weights of the signers of claims.

// weightPenalty is the amount by which a signer's weight is below 1.
type weightPenalty struct {
	penalty   float64 // 1 minus the weight at updatedAt; halves every WeightHalfLife
	updatedAt time.Duration
}

// Weight returns the current weight of a signer's claims, 0 to 1.
func (q *SuspicionQuorum) Weight(signer string) float64 {
	r, ok := q.penalties[signer]
	if !ok {
		return 1
	}
	return 1 - float64(r.penalty*math.Exp2(-float64(q.now-r.updatedAt)/float64(q.cfg.WeightHalfLife)))
}

func (q *SuspicionQuorum) setWeight(signer string, weight float64) {
	if weight >= 1 {
		delete(q.penalties, signer)
		return
	}
	q.penalties[signer] = weightPenalty{penalty: 1 - weight, updatedAt: q.now}
}
