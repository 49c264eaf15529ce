package gossip

import "testing"

// TestBroadcastQueueIsNewestFirstAndBounded: a statement is passed on as often as asked, replaced by a newer one with
// its key, and a full queue drops those passed on most.
func TestBroadcastQueueIsNewestFirstAndBounded(t *testing.T) {
	q := newBroadcastQueue(3)
	for i := range uint64(4) {
		q.put(aliveStatement(addressName(int(i)), 1, 1))
	}
	if q.length != 3 {
		t.Fatalf("%d queued", q.length)
	}
	q.put(aliveStatement(addressName(3), 1, 2))
	first := q.take(120, 3, nil)
	if len(first) != 1 || first[0].Signer != addressName(3) || first[0].Seq != 2 {
		t.Fatalf("first %+v", first)
	}
	sent := map[string]int{}
	for range 10 {
		for _, s := range q.take(400, 3, nil) {
			sent[s.Signer]++
		}
	}
	for id, n := range sent {
		if n > 3 || n < 2 {
			t.Errorf("%s was passed on %d times", id, n)
		}
	}
	if q.length != 0 || len(sent) != 3 {
		t.Errorf("%d left, %v", q.length, sent)
	}
}
