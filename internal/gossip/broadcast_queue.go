package gossip

import "math"

// subjectOf names what a statement is about, so that a newer one replaces an older.
type statementKey struct {
	signer, subject string
	kind            StatementKind
}

func (s *Statement) key() statementKey {
	g := s.Kind
	if g == ClaimWithdrawn {
		g = WorkerSilent
	}
	return statementKey{s.Signer, s.Subject, g}
}

// item is a statement that waits to be passed on.
type queuedStatement struct {
	statement Statement
	sent      int
	rank      int
	dropped   bool
}

// queue holds the statements to be passed on: by how often each has been, those of little use later. The
// newest goes first among equals. Buckets make a packet's choice cost what it takes, not what waits.
type broadcastQueue struct {
	capacity int
	byKey    map[statementKey]*queuedStatement
	ranks    [][]*queuedStatement
	length   int // live items
}

func newBroadcastQueue(most int) broadcastQueue {
	return broadcastQueue{capacity: most, byKey: map[statementKey]*queuedStatement{}}
}

// handicap is how many times others are passed on first.
func (s *Statement) initialTransmissions() int {
	switch s.Kind {
	case WorkerFailing, WorkerSlow: // nobody acts on them
		return 4
	case MemberSuspected: // the words that answer them go first
		return 3
	}
	return 0
}

// put queues a statement in place of an older one on the same.
func (q *broadcastQueue) put(s Statement) {
	q.drop(s.key())
	if q.length >= q.capacity { // the one passed on most gives way
		for r := len(q.ranks) - 1; r >= 0 && q.length >= q.capacity; r-- {
			for _, i := range q.ranks[r] {
				if !i.dropped {
					q.drop(i.statement.key())
					break
				}
			}
		}
	}
	i := &queuedStatement{statement: s, rank: s.initialTransmissions()}
	q.byKey[s.key()] = i
	q.addToRank(i)
	q.length++
}

func (q *broadcastQueue) addToRank(i *queuedStatement) {
	for len(q.ranks) <= i.rank {
		q.ranks = append(q.ranks, nil)
	}
	q.ranks[i.rank] = append(q.ranks[i.rank], i)
}

func (q *broadcastQueue) drop(k statementKey) {
	if i := q.byKey[k]; i != nil {
		i.dropped = true
		delete(q.byKey, k)
		q.length--
	}
}

// take chooses statements for a packet with so much room, and counts them as passed on. copies is how often a
// statement is passed on.
func (q *broadcastQueue) take(room, copies int, into []Statement) []Statement {
	const least = 64 + 8
	var chosen []*queuedStatement
	for r := 0; r < len(q.ranks) && room >= least; r++ {
		list := q.ranks[r]
		keep := list[:0]
		for n := len(list) - 1; n >= 0; n-- {
			i := list[n]
			if i.dropped {
				list[n] = nil
				continue
			}
			if size := i.statement.Size(); size <= room {
				room -= size
				chosen = append(chosen, i)
				list[n] = nil
			} else if room = min(room, size); room < least {
				break
			}
		}
		for _, i := range list {
			if i != nil {
				keep = append(keep, i)
			}
		}
		clear(list[len(keep):])
		q.ranks[r] = keep
	}
	for _, i := range chosen {
		into = append(into, i.statement)
		i.sent, i.rank = i.sent+1, i.rank+1
		if i.sent >= copies {
			q.drop(i.statement.key())
		} else {
			q.addToRank(i)
		}
	}
	return into
}

// copies is how often a statement is passed on among n members.
func transmissions(mult float64, n int) int {
	return max(int(math.Ceil(mult*math.Log10(float64(n+1)))), 1)
}
