package gossip

import "math"

// minStatementRoom is a lower bound of the size of a statement in bytes: a signature and the shortest fields. With less
// room in a packet the queue is not searched.
const minStatementRoom = 64 + 8

// queuedStatement is a statement waiting to be disseminated.
type queuedStatement struct {
	statement Statement
	sent      int  // number of transmissions
	rank      int  // index in broadcastQueue.ranks
	dropped   bool // removed from the queue, but not yet from its rank
}

// broadcastQueue holds the statements to be disseminated, in ranks: each transmission moves a statement to the next
// rank, and less useful statements start at a later one. Lower ranks are sent first, and within a rank the newest
// statement. With ranks, the cost of filling a packet depends on the statements chosen, not on the length of the queue.
type broadcastQueue struct {
	capacity int
	byKey    map[statementKey]*queuedStatement
	ranks    [][]*queuedStatement
	length   int // does not count dropped statements
}

func newBroadcastQueue(capacity int) broadcastQueue {
	return broadcastQueue{capacity: capacity, byKey: map[statementKey]*queuedStatement{}}
}

// initialRank returns the rank at which a statement is queued. A statement queued at rank n comes after those queued at
// rank 0 until these have been transmitted n times.
func (s *Statement) initialRank() int {
	switch s.Kind {
	case WorkerFailing, WorkerSlow: // no router acts on them
		return 4
	case MemberSuspected: // the MemberAlive that refutes it goes first
		return 3
	case MemberAlive, WorkerSilent, ClaimWithdrawn: // routers act on them
		return 0
	}
	return 0
}

// put queues a statement, replacing an older one with the same key.
func (q *broadcastQueue) put(s Statement) {
	q.drop(s.key())
	if q.length >= q.capacity {
		q.evict()
	}
	queued := &queuedStatement{statement: s, rank: s.initialRank()}
	q.byKey[s.key()] = queued
	q.addToRank(queued)
	q.length++
}

// evict drops one statement of the highest rank, so one of the most transmitted or least useful.
func (q *broadcastQueue) evict() {
	for rank := len(q.ranks) - 1; rank >= 0 && q.length >= q.capacity; rank-- {
		for _, queued := range q.ranks[rank] {
			if !queued.dropped {
				q.drop(queued.statement.key())
				break
			}
		}
	}
}

func (q *broadcastQueue) addToRank(queued *queuedStatement) {
	for len(q.ranks) <= queued.rank {
		q.ranks = append(q.ranks, nil)
	}
	q.ranks[queued.rank] = append(q.ranks[queued.rank], queued)
}

func (q *broadcastQueue) drop(key statementKey) {
	if queued := q.byKey[key]; queued != nil {
		queued.dropped = true
		delete(q.byKey, key)
		q.length--
	}
}

// appendNext appends the next statements that fit into room bytes to dst and counts a transmission of each. After limit
// transmissions a statement is removed from the queue.
func (q *broadcastQueue) appendNext(room, limit int, dst []Statement) []Statement {
	var chosen []*queuedStatement
	for rank := 0; rank < len(q.ranks) && room >= minStatementRoom; rank++ {
		room = q.chooseFromRank(rank, room, &chosen)
	}
	for _, queued := range chosen {
		dst = append(dst, queued.statement)
		queued.sent++
		queued.rank++
		if queued.sent >= limit {
			q.drop(queued.statement.key())
		} else {
			q.addToRank(queued)
		}
	}
	return dst
}

// chooseFromRank moves statements that fit from one rank to chosen, newest first, and returns the remaining room.
// Statements that don't fit are skipped as long as a smaller one might.
func (q *broadcastQueue) chooseFromRank(rank, room int, chosen *[]*queuedStatement) int {
	list := q.ranks[rank]
	for n := len(list) - 1; n >= 0; n-- {
		queued := list[n]
		if queued.dropped {
			list[n] = nil
			continue
		}
		if size := queued.statement.Size(); size <= room {
			room -= size
			*chosen = append(*chosen, queued)
			list[n] = nil
		} else if room < minStatementRoom {
			break
		}
	}
	keep := list[:0]
	for _, queued := range list {
		if queued != nil {
			keep = append(keep, queued)
		}
	}
	clear(list[len(keep):])
	q.ranks[rank] = keep
	return room
}

// transmitLimit returns how often a member transmits each statement in a group of n members.
func transmitLimit(multiplier float64, n int) int {
	return max(int(math.Ceil(multiplier*math.Log10(float64(n+1)))), 1)
}
