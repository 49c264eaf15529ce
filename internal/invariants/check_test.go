package invariants

import (
	"testing"
	"time"
)

const ms = time.Millisecond

func site() Site {
	return Site{Classes: map[string]Class{"quote": {Effect: "safe", All: true, Work: 100 * ms},
		"renew": {Effect: "keyed", Work: 100 * ms}, "points": {Effect: "unsafe", Work: 100 * ms}},
		AnswerGrace: 50 * ms, DrainGrace: 500 * ms, Capacity: map[string]float64{"w": 2}, ColdShare: 0.2,
		ColdFor: 10 * time.Second, FallMultiple: 2, FallSpan: time.Second, LoadSpan: 5 * time.Second, LoadFree: 2,
		LoadShare: 0.1, Slack: 50 * ms}
}

func asked(at time.Duration, call, class string) Record {
	return Record{At: at, Kind: Asked, Call: call, Request: call, Class: class, Router: "r", Deadline: at + 1000*ms}
}

func answered(at time.Duration, call, class string, a Answer) Record {
	return Record{At: at, Kind: Answered, Call: call, Request: call, Class: class, Router: "r", Answer: a}
}

func at(at time.Duration, k Kind, call, class, worker string) Record {
	return Record{At: at, Kind: k, Call: call, Request: call, Class: class, Router: "r", Worker: worker}
}

func told(t time.Duration, off bool) Record {
	return Record{At: t, Kind: Told, Router: "r", Worker: "w", Off: off}
}

func order(t time.Duration) Record {
	return Record{At: t, Kind: Ordered, Router: "r", Worker: "w", Copies: 1}
}

// TestEachRule holds, for each rule, records that break it beside their nearest that don't.
func TestEachRule(t *testing.T) {
	cold := func(n int) (out []Record) {
		out = []Record{{At: 1 * ms, Kind: Started, Worker: "w"}, asked(2*ms, "x", "quote"), answered(3*ms, "x", "quote", Served)}
		for i := range n { // 0.4 cores x 2 x 1 s, and one call of 0.1 s: nine calls fit
			out = append(out, at(time.Duration(10+i)*ms, Got, "-", "quote", "w"))
		}
		return out
	}
	loads := func(calls, orders int) (out []Record) {
		for i := range calls {
			id := string(rune('a'+i%26)) + string(rune('a'+i/26))
			out = append(out, asked(time.Duration(100+i)*ms, id, "quote"), answered(time.Duration(200+i)*ms, id, "quote", Served))
		}
		for i := range orders {
			out = append(out, order(time.Duration(400+i)*ms))
		}
		return out
	}
	for _, c := range []struct {
		name  string
		rule  int // 0: kept
		space []Record
	}{
		{"answered once", 0, []Record{asked(1*ms, "a", "quote"), answered(9*ms, "a", "quote", Served)}},
		{"never answered", 1, []Record{asked(1*ms, "a", "quote")}},
		{"answered twice", 1, []Record{asked(1*ms, "a", "quote"), answered(9*ms, "a", "quote", Served), answered(10*ms, "a", "quote", Refused)}},
		{"answered late", 1, []Record{asked(1*ms, "a", "quote"), answered(1100*ms, "a", "quote", Served)}},
		{"within the grace", 0, []Record{asked(1*ms, "a", "quote"), answered(1040*ms, "a", "quote", Served)}},
		{"the client left", 0, []Record{asked(1*ms, "a", "quote"), {At: 50 * ms, Kind: Left, Call: "a"}}},
		{"the router was killed", 0, []Record{asked(1*ms, "a", "quote"), {At: 50 * ms, Kind: RouterDown, Router: "r"}}},
		{"another router was killed", 1, []Record{asked(1*ms, "a", "quote"), {At: 50 * ms, Kind: RouterDown, Router: "s"}}},
		{"killed before it was asked", 1, []Record{{At: 1 * ms, Kind: RouterDown, Router: "r"}, asked(5*ms, "a", "quote")}},
		{"sent after its answer", 1, []Record{asked(1*ms, "a", "quote"), answered(9*ms, "a", "quote", Refused), at(200*ms, Got, "a", "quote", "w")}},
		{"safe, ran twice", 0, []Record{asked(1*ms, "a", "quote"), at(2*ms, Ran, "a", "quote", "v"), at(3*ms, Ran, "a", "quote", "w"), answered(9*ms, "a", "quote", Served)}},
		{"unsafe, ran twice", 2, []Record{asked(1*ms, "a", "points"), at(2*ms, Ran, "a", "points", "v"), at(3*ms, Ran, "a", "points", "w"), answered(9*ms, "a", "points", Served)}},
		{"keyed, ran twice", 2, []Record{asked(1*ms, "a", "renew"), at(2*ms, Ran, "a", "renew", "v"), at(3*ms, Ran, "a", "renew", "w"), answered(9*ms, "a", "renew", Served)}},
		{"unsafe, refused though it ran", 2, []Record{asked(1*ms, "a", "points"), at(2*ms, Ran, "a", "points", "v"), answered(9*ms, "a", "points", Refused)}},
		{"unsafe, failed though it ran", 0, []Record{asked(1*ms, "a", "points"), at(2*ms, Ran, "a", "points", "v"), answered(9*ms, "a", "points", Failed)}},
		{"sent within the drain's grace", 0, []Record{told(1*ms, true), at(500*ms, Got, "-", "quote", "w")}},
		{"sent after it", 3, []Record{told(1*ms, true), at(600*ms, Got, "-", "quote", "w")}},
		{"ordered after it", 3, []Record{told(1*ms, true), asked(500*ms, "a", "quote"), answered(501*ms, "a", "quote", Served), order(600 * ms)}},
		{"asked only", 0, []Record{told(1*ms, true), {At: 600 * ms, Kind: Ordered, Router: "r", Worker: "w"}}},
		{"told on again", 0, []Record{told(1*ms, true), told(300*ms, false), at(900*ms, Got, "-", "quote", "w")}},
		{"its own word", 3, []Record{{At: 1 * ms, Kind: Said, Router: "r", Worker: "w"}, at(600*ms, Got, "-", "quote", "w")}},
		{"ready again", 0, []Record{{At: 1 * ms, Kind: Said, Router: "r", Worker: "w"}, {At: 200 * ms, Kind: Ready, Router: "r", Worker: "w"}, at(600*ms, Got, "-", "quote", "w")}},
		{"ready, but listed as draining", 3, []Record{told(1*ms, true), {At: 200 * ms, Kind: Ready, Router: "r", Worker: "w"}, at(600*ms, Got, "-", "quote", "w")}},
		{"told to another router", 0, []Record{{At: 1 * ms, Kind: Told, Router: "s", Worker: "w", Off: true}, at(600*ms, Got, "-", "quote", "w")}},
		{"a cold worker's part", 0, cold(9)},
		{"beyond it", 4, cold(10)},
		{"fell over", 4, []Record{{At: 5 * ms, Kind: Fell, Worker: "w"}}},
		{"loads within the ration", 0, loads(20, 4)},
		{"one beyond it", 5, loads(20, 5)},
	} {
		got := Check(site(), c.space)
		rule := 0
		for _, b := range got {
			rule = b.Rule
		}
		if rule != c.rule || len(got) > 1 {
			t.Errorf("%s: %v, want a breach of rule %d", c.name, got, c.rule)
		}
	}
}
