package gossip

import "testing"

// TestBroadcastQueueIsNewestFirstAndBounded checks that a statement is transmitted up to the limit, is replaced by a
// newer one with the same key, and that a full queue drops the most transmitted statement.
func TestBroadcastQueueIsNewestFirstAndBounded(t *testing.T) {
	q := newBroadcastQueue(3)
	for i := range uint64(4) {
		q.put(aliveStatement(addressName(int(i)), 1, 1))
	}
	if q.length != 3 {
		t.Fatalf("%d queued", q.length)
	}
	q.put(aliveStatement(addressName(3), 1, 2))
	first := q.appendNext(120, 3, nil)
	if len(first) != 1 || first[0].Signer != addressName(3) || first[0].Seq != 2 {
		t.Fatalf("first %+v", first)
	}
	sent := map[string]int{}
	for range 10 {
		for _, s := range q.appendNext(400, 3, nil) {
			sent[s.Signer]++
		}
	}
	for id, n := range sent {
		if n > 3 || n < 2 {
			t.Errorf("%s was transmitted %d times", id, n)
		}
	}
	if q.length != 0 || len(sent) != 3 {
		t.Errorf("%d left, %v", q.length, sent)
	}
}
