package invariants

import (
	"testing"
	"time"
)

const ms = time.Millisecond

func testSettings() Settings {
	return Settings{
		Classes: map[string]Class{
			"quote":  {Idempotency: Idempotent, RetryHarmless: true, MeanWork: 100 * ms},
			"renew":  {Idempotency: IdempotentByKey, MeanWork: 100 * ms},
			"points": {Idempotency: NonIdempotent, MeanWork: 100 * ms},
		},
		ResponseGrace:     50 * ms,
		DrainGrace:        500 * ms,
		Capacity:          map[string]float64{"w": 2},
		SlowStartShare:    0.2,
		SlowStartDuration: 10 * time.Second,
		OverloadMultiple:  2,
		OverloadWindow:    time.Second,
		LoadRateWindow:    5 * time.Second,
		LoadRateBurst:     2,
		LoadRateRatio:     0.1,
		RecordingDelay:    50 * ms,
		LeaveGrace:        100 * ms,
		DeadlineSlack:     150 * ms,
	}
}

func callSent(at time.Duration, call, class string) Record {
	return Record{At: at, Kind: CallSent, Call: call, Request: call, Class: class, Router: "r", Deadline: at + 1000*ms}
}

func finalAnswer(at time.Duration, call, class string, answer Answer) Record {
	return Record{At: at, Kind: FinalAnswer, Call: call, Request: call, Class: class, Router: "r", Answer: answer}
}

func atWorker(at time.Duration, kind RecordKind, call, class, worker string) Record {
	return Record{At: at, Kind: kind, Call: call, Request: call, Class: class, Router: "r", Worker: worker}
}

func endpointNotified(at time.Duration, unavailable bool) Record {
	return Record{At: at, Kind: EndpointNotified, Router: "r", Worker: "w", Unavailable: unavailable}
}

func loadCommand(at time.Duration) Record {
	return Record{At: at, Kind: LoadCommandReceived, Router: "r", Worker: "w", Copies: 1}
}

// slowStart returns the start of a worker and a number of attempts at it within the overload window. The limit is nine
// calls of 0.1 s: 0.4 cores times the overload multiple of 2 over a window of 1 s, plus one call.
func slowStart(attempts int) []Record {
	records := []Record{
		{At: 1 * ms, Kind: WorkerStarted, Worker: "w"},
		callSent(2*ms, "x", "quote"),
		finalAnswer(3*ms, "x", "quote", Served),
	}
	for i := range attempts {
		records = append(records, atWorker(time.Duration(10+i)*ms, AttemptReceived, "-", "quote", "w"))
	}
	return records
}

// loadCommands returns a number of calls followed by a number of load commands, all within the window.
func loadCommands(calls, commands int) []Record {
	var records []Record
	for i := range calls {
		id := string(rune('a'+i%26)) + string(rune('a'+i/26))
		records = append(records, callSent(time.Duration(100+i)*ms, id, "quote"),
			finalAnswer(time.Duration(200+i)*ms, id, "quote", Served))
	}
	for i := range commands {
		records = append(records, loadCommand(time.Duration(400+i)*ms))
	}
	return records
}

// TestSlowStartWithRandomArrivals checks the allowance for calls that arrive at random: a limit of 8 calls may be
// exceeded by 3 sqrt(8) + 3 calls, which is 11 whole calls.
func TestSlowStartWithRandomArrivals(t *testing.T) {
	s := testSettings()
	s.RandomArrivals = true
	for attempts, want := range map[int]int{19: 0, 20: 1} {
		if violations := Check(s, slowStart(attempts)); len(violations) != want {
			t.Errorf("%d attempts: %v, want %d violations", attempts, violations, want)
		}
	}
}

// ruleCase is a sequence of records and the rule that they violate.
type ruleCase struct {
	name    string
	rule    int // 0 means that no rule is violated
	records []Record
}

// testRuleCases checks sequences of records that just violate a rule and others that just satisfy it.
func testRuleCases(t *testing.T, cases []ruleCase) {
	t.Helper()
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			violations := Check(testSettings(), c.records)
			rule := 0
			for _, v := range violations {
				rule = v.Rule
			}
			if rule != c.rule || len(violations) > 1 {
				t.Errorf("%v, want one violation of rule %d", violations, c.rule)
			}
		})
	}
}

func TestFinalAnswerRule(t *testing.T) {
	testRuleCases(t, []ruleCase{
		{"answered once", 0, []Record{callSent(1*ms, "a", "quote"), finalAnswer(9*ms, "a", "quote", Served)}},
		{"never answered", RuleFinalAnswer, []Record{callSent(1*ms, "a", "quote")}},
		{"answered twice", RuleFinalAnswer, []Record{
			callSent(1*ms, "a", "quote"),
			finalAnswer(9*ms, "a", "quote", Served),
			finalAnswer(10*ms, "a", "quote", Rejected),
		}},
		{"answered late", RuleFinalAnswer, []Record{
			callSent(1*ms, "a", "quote"),
			finalAnswer(1100*ms, "a", "quote", Served),
		}},
		{"answered within the response grace", 0, []Record{
			callSent(1*ms, "a", "quote"),
			finalAnswer(1040*ms, "a", "quote", Served),
		}},
		{"the client abandoned it", 0, []Record{
			callSent(1*ms, "a", "quote"),
			{At: 50 * ms, Kind: CallAbandoned, Call: "a"},
		}},
		{"the router was killed", 0, []Record{
			callSent(1*ms, "a", "quote"),
			{At: 50 * ms, Kind: RouterKilled, Router: "r"},
		}},
		{"another router was killed", RuleFinalAnswer, []Record{
			callSent(1*ms, "a", "quote"),
			{At: 50 * ms, Kind: RouterKilled, Router: "s"},
		}},
		{"router killed before the call", RuleFinalAnswer, []Record{
			{At: 1 * ms, Kind: RouterKilled, Router: "r"},
			callSent(5*ms, "a", "quote"),
		}},
		{"forwarded after its answer", RuleFinalAnswer, []Record{
			callSent(1*ms, "a", "quote"),
			finalAnswer(9*ms, "a", "quote", Rejected),
			atWorker(200*ms, AttemptReceived, "a", "quote", "w"),
		}},
		{"forwarded while the router may not know that its client left", 0, []Record{
			callSent(1*ms, "a", "quote"),
			{At: 50 * ms, Kind: CallAbandoned, Call: "a"},
			atWorker(190*ms, AttemptReceived, "a", "quote", "w"),
		}},
		{"forwarded after its client left", RuleFinalAnswer, []Record{
			callSent(1*ms, "a", "quote"),
			{At: 50 * ms, Kind: CallAbandoned, Call: "a"},
			atWorker(210*ms, AttemptReceived, "a", "quote", "w"),
		}},
		{"forwarded with more time than the client has left", RuleFinalAnswer, []Record{
			callSent(1*ms, "a", "quote"),
			{At: 2 * ms, Kind: AttemptReceived, Call: "a", Class: "quote", Worker: "w", Remaining: 1300 * ms},
			finalAnswer(9*ms, "a", "quote", Served),
		}},
	})
}

func TestSideEffectRule(t *testing.T) {
	testRuleCases(t, []ruleCase{
		{"idempotent, ran twice", 0, []Record{
			callSent(1*ms, "a", "quote"),
			atWorker(2*ms, RunStarted, "a", "quote", "v"),
			atWorker(3*ms, RunStarted, "a", "quote", "w"),
			finalAnswer(9*ms, "a", "quote", Served),
		}},
		{"non-idempotent, ran twice", RuleSideEffect, []Record{
			callSent(1*ms, "a", "points"),
			atWorker(2*ms, RunStarted, "a", "points", "v"),
			atWorker(3*ms, RunStarted, "a", "points", "w"),
			finalAnswer(9*ms, "a", "points", Served),
		}},
		{"idempotent by key, ran twice", RuleSideEffect, []Record{
			callSent(1*ms, "a", "renew"),
			atWorker(2*ms, RunStarted, "a", "renew", "v"),
			atWorker(3*ms, RunStarted, "a", "renew", "w"),
			finalAnswer(9*ms, "a", "renew", Served),
		}},
		{"non-idempotent, rejected though it ran", RuleSideEffect, []Record{
			callSent(1*ms, "a", "points"),
			atWorker(2*ms, RunStarted, "a", "points", "v"),
			finalAnswer(9*ms, "a", "points", Rejected),
		}},
		{"non-idempotent, failed though it ran", 0, []Record{
			callSent(1*ms, "a", "points"),
			atWorker(2*ms, RunStarted, "a", "points", "v"),
			finalAnswer(9*ms, "a", "points", Failed),
		}},
	})
}

func TestDrainRule(t *testing.T) {
	testRuleCases(t, []ruleCase{
		{"sent within the drain grace", 0, []Record{
			endpointNotified(1*ms, true),
			atWorker(500*ms, AttemptReceived, "-", "quote", "w"),
		}},
		{"sent after the drain grace", RuleDrain, []Record{
			endpointNotified(1*ms, true),
			atWorker(600*ms, AttemptReceived, "-", "quote", "w"),
		}},
		{"load command after the drain grace", RuleDrain, []Record{
			endpointNotified(1*ms, true),
			callSent(500*ms, "a", "quote"),
			finalAnswer(501*ms, "a", "quote", Served),
			loadCommand(600 * ms),
		}},
		{"query after the drain grace", 0, []Record{
			endpointNotified(1*ms, true),
			{At: 600 * ms, Kind: LoadCommandReceived, Router: "r", Worker: "w"},
		}},
		{"active again", 0, []Record{
			endpointNotified(1*ms, true),
			endpointNotified(300*ms, false),
			atWorker(900*ms, AttemptReceived, "-", "quote", "w"),
		}},
		{"worker's own report", RuleDrain, []Record{
			{At: 1 * ms, Kind: WorkerDraining, Router: "r", Worker: "w"},
			atWorker(600*ms, AttemptReceived, "-", "quote", "w"),
		}},
		{"ready again by its own report", 0, []Record{
			{At: 1 * ms, Kind: WorkerDraining, Router: "r", Worker: "w"},
			{At: 200 * ms, Kind: WorkerReady, Router: "r", Worker: "w"},
			atWorker(600*ms, AttemptReceived, "-", "quote", "w"),
		}},
		{"ready, but listed as draining", RuleDrain, []Record{
			endpointNotified(1*ms, true),
			{At: 200 * ms, Kind: WorkerReady, Router: "r", Worker: "w"},
			atWorker(600*ms, AttemptReceived, "-", "quote", "w"),
		}},
		{"another router was notified", 0, []Record{
			{At: 1 * ms, Kind: EndpointNotified, Router: "s", Worker: "w", Unavailable: true},
			atWorker(600*ms, AttemptReceived, "-", "quote", "w"),
		}},
	})
}

func TestSlowStartRule(t *testing.T) {
	testRuleCases(t, []ruleCase{
		{"slow start within the limit", 0, slowStart(9)},
		{"slow start beyond the limit", RuleSlowStart, slowStart(10)},
		{"overloaded at start", RuleSlowStart, []Record{{At: 5 * ms, Kind: WorkerOverloaded, Worker: "w"}}},
	})
}

func TestLoadRateRule(t *testing.T) {
	testRuleCases(t, []ruleCase{
		{"load commands within the limit", 0, loadCommands(20, 4)},
		{"one load command beyond the limit", RuleLoadRate, loadCommands(20, 5)},
		{"over a restart of the router", 0, append(loadCommands(20, 5), Record{At: 402 * ms, Kind: RouterStarted, Router: "r"})},
	})
}
