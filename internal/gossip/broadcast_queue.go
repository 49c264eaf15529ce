package gossip

import "math"

// minStatementRoom is the least room in a packet that is worth a search: a signature and the shortest fields.
const minStatementRoom = 64 + 8

// queuedStatement is a statement that waits to be passed on.
type queuedStatement struct {
	statement Statement
	sent      int // times that it was passed on
	rank      int
	dropped   bool // still in its rank, but no longer of the queue
}

// broadcastQueue holds the statements to be passed on, in ranks by how often each has been; those of little use begin
// at a later rank. Within a rank the newest goes first. Ranks make filling a packet cost what is taken, not what waits.
type broadcastQueue struct {
	capacity int
	byKey    map[statementKey]*queuedStatement
	ranks    [][]*queuedStatement
	length   int // without dropped statements
}

func newBroadcastQueue(capacity int) broadcastQueue {
	return broadcastQueue{capacity: capacity, byKey: map[statementKey]*queuedStatement{}}
}

// initialRank is how many times other statements are passed on before this one.
func (s *Statement) initialRank() int {
	switch s.Kind {
	case WorkerFailing, WorkerSlow: // nobody acts on them
		return 4
	case MemberSuspected: // the MemberAlive that refutes it goes first
		return 3
	case MemberAlive, WorkerSilent, ClaimWithdrawn: // routers act on them
		return 0
	}
	return 0
}

// put queues a statement in place of an older one with its key.
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

// evict drops one statement of those passed on most.
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

// take appends statements that fit into room bytes to dst and counts them as passed on. A statement leaves the queue
// when it has been passed on limit times.
func (q *broadcastQueue) take(room, limit int, dst []Statement) []Statement {
	var chosen []*queuedStatement
	for rank := 0; rank < len(q.ranks) && room >= minStatementRoom; rank++ {
		room = q.takeFromRank(rank, room, &chosen)
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

// takeFromRank moves statements that fit from one rank to chosen, newest first, and returns the room that is left.
// Larger ones are passed over while a smaller one may still fit.
func (q *broadcastQueue) takeFromRank(rank, room int, chosen *[]*queuedStatement) int {
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

// transmissions returns how often a statement is passed on among n members.
func transmissions(multiplier float64, n int) int {
	return max(int(math.Ceil(multiplier*math.Log10(float64(n+1)))), 1)
}
