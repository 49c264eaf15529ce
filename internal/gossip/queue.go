package gossip

import "math"

// subjectOf names what a statement is about, so that a newer one replaces an older.
type subjectOf struct {
	signer, subject string
	group           About
}

func (s *Statement) of() subjectOf {
	g := s.About
	if g == Back {
		g = Silent
	}
	return subjectOf{s.Signer, s.Subject, g}
}

// item is a statement that waits to be passed on.
type item struct {
	s    Statement
	sent int
	rank int
	gone bool
}

// queue holds the statements to be passed on: by how often each has been, those of little use later. The
// newest goes first among equals. Buckets make a packet's choice cost what it takes, not what waits.
type queue struct {
	most  int
	by    map[subjectOf]*item
	ranks [][]*item
	n     int // live items
}

func newQueue(most int) queue { return queue{most: most, by: map[subjectOf]*item{}} }

// handicap is how many times others are passed on first.
func (s *Statement) handicap() int {
	switch s.About {
	case Failing, Slow: // nobody acts on them
		return 4
	case Doubts: // the words that answer them go first
		return 3
	}
	return 0
}

// put queues a statement in place of an older one on the same.
func (q *queue) put(s Statement) {
	q.drop(s.of())
	if q.n >= q.most { // the one passed on most gives way
		for r := len(q.ranks) - 1; r >= 0 && q.n >= q.most; r-- {
			for _, i := range q.ranks[r] {
				if !i.gone {
					q.drop(i.s.of())
					break
				}
			}
		}
	}
	i := &item{s: s, rank: s.handicap()}
	q.by[s.of()] = i
	q.place(i)
	q.n++
}

func (q *queue) place(i *item) {
	for len(q.ranks) <= i.rank {
		q.ranks = append(q.ranks, nil)
	}
	q.ranks[i.rank] = append(q.ranks[i.rank], i)
}

func (q *queue) drop(k subjectOf) {
	if i := q.by[k]; i != nil {
		i.gone = true
		delete(q.by, k)
		q.n--
	}
}

// take chooses statements for a packet with so much room, and counts them as passed on. copies is how often a
// statement is passed on.
func (q *queue) take(room, copies int, into []Statement) []Statement {
	const least = 64 + 8
	var chosen []*item
	for r := 0; r < len(q.ranks) && room >= least; r++ {
		list := q.ranks[r]
		keep := list[:0]
		for n := len(list) - 1; n >= 0; n-- {
			i := list[n]
			if i.gone {
				list[n] = nil
				continue
			}
			if size := i.s.Size(); size <= room {
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
		into = append(into, i.s)
		i.sent, i.rank = i.sent+1, i.rank+1
		if i.sent >= copies {
			q.drop(i.s.of())
		} else {
			q.place(i)
		}
	}
	return into
}

// copies is how often a statement is passed on among n members.
func copies(mult float64, n int) int { return max(int(math.Ceil(mult*math.Log10(float64(n+1)))), 1) }
