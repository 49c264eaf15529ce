package dispatch

import (
	"fmt"
	"testing"
	"time"
)

// settings are those of a fleet whose workers answer Miss; tests change what they are about.
func settings() Settings {
	return Settings{Routers: 1, MaxAttempts: 4, HedgingAllowed: true, CancelAllowed: true, LoadCommandsAllowed: true,
		HealthChecksAllowed: true, IdleResidency: 10 * time.Second, ResponseGrace: 16 * time.Millisecond,
		WorkerKinds: []WorkerKind{{"big", 16000}, {"small", 8000}}, SlowStartShare: 0.2, SlowStartDuration: 16 * time.Second,
		OverloadMultiple: 3, OverloadWindow: 1500 * time.Millisecond,
		Classes: []Class{
			{Name: "safe", LatencyObjective: time.Second, Deadline: 3 * time.Second, PriorityWeight: 1, Idempotency: Idempotent},
			{Name: "once", LatencyObjective: time.Second, Deadline: 3 * time.Second, PriorityWeight: 1, Idempotency: NonIdempotent},
			{Name: "keyed", LatencyObjective: time.Second, Deadline: 3 * time.Second, PriorityWeight: 1, Idempotency: IdempotentByKey,
				DeduplicationScope: ScopeCell, DeduplicationWindow: 2 * time.Second},
		}}
}

// rig drives one Dispatcher and has every step watched by the rule checker.
type harness struct {
	t          *testing.T
	dispatcher *Dispatcher
	checker    *checker
	now        time.Duration
	next       RequestID
}

func newHarness(t *testing.T, s Settings, ids ...string) *harness {
	t.Helper()
	d, err := New(s, 1)
	if err != nil {
		t.Fatal(err)
	}
	r := &harness{t: t, dispatcher: d, checker: newChecker(s), now: time.Second}
	ms := []Endpoint{}
	for i, id := range ids {
		ms = append(ms, Endpoint{ID: id, Kind: "big", Cell: i / 2})
	}
	r.step(EndpointUpdate{Snapshot: true, Endpoints: ms})
	return r
}

func (r *harness) step(events ...Event) []Action {
	r.t.Helper()
	out := r.dispatcher.Step(r.now, events)
	if err := r.checker.step(r.now, events, out); err != nil {
		r.t.Fatal(err)
	}
	return out
}

// after lets time pass, waking the Dispatcher every 10 ms.
func (r *harness) advance(span time.Duration) (out []Action) {
	r.t.Helper()
	for end := r.now + span; r.now < end; {
		r.now += 10 * time.Millisecond
		out = append(out, r.step(TimerFired{})...)
	}
	return out
}

// call brings a new request of a function.
func (r *harness) call(function, class string) (RequestID, []Action) {
	r.t.Helper()
	r.next++
	return r.next, r.step(Request{ID: r.next, Function: function, Class: class, MemoryMB: 300, ConcurrencyPerInstance: 1,
		RemainingDeadline: 3 * time.Second})
}

func actionsOf[T Action](actions []Action) (found []T) {
	for _, a := range actions {
		if x, ok := a.(T); ok {
			found = append(found, x)
		}
	}
	return found
}

func (r *harness) onlyAttempt(actions []Action) StartAttempt {
	r.t.Helper()
	s := actionsOf[StartAttempt](actions)
	if len(s) != 1 {
		r.t.Fatalf("%d sends, want 1: %v", len(s), actions)
	}
	return s[0]
}

func TestRankingIsSharedAndFirstRankedServesBeforeTheFirstRound(t *testing.T) {
	a, b := newHarness(t, settings(), "w1", "w2", "w3", "w4"), newHarness(t, settings(), "w4", "w3", "w2", "w1")
	used := map[string]bool{}
	for _, f := range []string{"f1", "f2", "f3", "f4", "f5", "f6", "f7", "f8"} {
		_, x := a.call(f, "safe")
		_, y := b.call(f, "safe")
		if a.onlyAttempt(x).Worker != b.onlyAttempt(y).Worker {
			t.Errorf("%s: routers disagree", f)
		}
		used[a.onlyAttempt(x).Worker] = true
	}
	if len(used) < 2 {
		t.Error("all functions share one home")
	}
}

func TestWalkFillsLightestFirstAndSpills(t *testing.T) {
	r := newHarness(t, settings(), "w1", "w2", "w3")
	light := &function{key: "light", memoryMB: 1, concurrency: 1, meanWorkUnit: 1, requestRate: 1, served: true, placements: map[string]*placement{}}
	heavy := &function{key: "heavy", memoryMB: 9, concurrency: 1, meanWorkUnit: 1, requestRate: 1, served: true, placements: map[string]*placement{}}
	r.dispatcher.functionsInOrder = []*function{heavy, light}
	r.dispatcher.assignCapacity()
	if len(light.assignment) != 1 || light.assignment[0].worker != light.ranked[0] {
		t.Errorf("light split = %v, want its first-ranked worker alone", light.assignment)
	}
	if len(heavy.assignment) != 3 {
		t.Errorf("heavy on %d workers, want all 3", len(heavy.assignment))
	}
	sum := 0.0
	for _, p := range heavy.assignment {
		sum += p.share
	}
	if sum < 0.999 || sum > 1.001 {
		t.Errorf("shares sum to %v", sum)
	}
}

func TestDemandFades(t *testing.T) {
	r := newHarness(t, settings(), "w1")
	id, out := r.call("f", "safe")
	r.step(AttemptEnded{ID: id, Worker: r.onlyAttempt(out).Worker, Duration: 50 * time.Millisecond, Final: true})
	r.advance(3 * time.Second)
	was := r.dispatcher.functions["f"].demand
	r.advance(8 * time.Second)
	if now := r.dispatcher.functions["f"].demand; was <= 0 || now > was/2 {
		t.Errorf("demand %v, then %v", was, now)
	}
}

func TestMissOrdersOneLoadAndResends(t *testing.T) {
	r := newHarness(t, settings(), "w1", "w2")
	id, out := r.call("f", "once")
	w := r.onlyAttempt(out).Worker
	out = r.step(AttemptEnded{ID: id, Worker: w, Result: NotResident})
	if o := actionsOf[LoadFunction](out); len(o) != 1 || o[0].Worker != w || o[0].Copies != 1 {
		t.Fatalf("orders %v", o)
	}
	if _, out = r.call("f", "once"); len(actionsOf[LoadFunction](out)) != 0 {
		t.Error("a load under way was ordered again")
	}
	r.now += 300 * time.Millisecond
	out = r.step(FunctionLoaded{Worker: w, Function: "f", Copies: 1, Duration: 300 * time.Millisecond})
	if n := len(actionsOf[StartAttempt](out)); n != 2 {
		t.Errorf("%d sends after the load, want both", n)
	}
}

func TestUnsafeIsNotRepeatedAfterATimeOut(t *testing.T) {
	for _, result := range []Result{TimedOut, ConnectionReset, Errored, Cancelled} {
		r := newHarness(t, settings(), "w1", "w2")
		id, out := r.call("f", "once")
		out = r.step(AttemptEnded{ID: id, Worker: r.onlyAttempt(out).Worker, Result: result})
		if len(actionsOf[FailRequest](out)) != 1 || len(actionsOf[StartAttempt](out)) != 0 {
			t.Errorf("result %d: %v, want a failure", result, out)
		}
	}
}

func TestUnsafeMovesOnAfterARefusal(t *testing.T) {
	r := newHarness(t, settings(), "w1", "w2")
	id, out := r.call("f", "once")
	w := r.onlyAttempt(out).Worker
	if r.onlyAttempt(r.step(AttemptEnded{ID: id, Worker: w, Result: Rejected})).Worker == w {
		t.Error("sent to the refusing worker again")
	}
}

func TestKeyedStaysInItsCellAndWindow(t *testing.T) {
	s := settings()
	s.WorkersLoadOnMiss = true
	r := newHarness(t, s, "w1", "w2", "w3", "w4")
	id, out := r.call("f", "keyed")
	first := r.onlyAttempt(out).Worker
	again := r.onlyAttempt(r.step(AttemptEnded{ID: id, Worker: first, Result: ConnectionReset}))
	if r.dispatcher.workers[again.Worker].Cell != r.dispatcher.workers[first].Cell || again.Worker == first {
		t.Errorf("sent again to %s, first to %s", again.Worker, first)
	}
	r.now += 2 * time.Second
	out = r.step(AttemptEnded{ID: id, Attempt: 1, Worker: again.Worker, Result: ConnectionReset})
	r.advance(2 * time.Second)
}

func TestDrainStopsAtOnce(t *testing.T) {
	r := newHarness(t, settings(), "w1", "w2")
	_, out := r.call("f", "safe")
	w := r.onlyAttempt(out).Worker
	r.step(EndpointUpdate{Endpoints: []Endpoint{{ID: w, State: EndpointDraining}}})
	if _, out = r.call("f", "safe"); r.onlyAttempt(out).Worker == w {
		t.Error("sent to a draining worker")
	}
}

func TestEveryRequestIsAnsweredInTimeWithNoWorkers(t *testing.T) {
	r := newHarness(t, settings())
	r.call("f", "once")
	if out := r.advance(4 * time.Second); len(actionsOf[RejectRequest](out)) != 1 {
		t.Errorf("%v, want one refusal", out)
	}
}

// Incident i8c6ef0: a caller that rounds a Wake down had it come back early, and no other was asked for.
func TestWakeRoundedDownIsAskedForAgain(t *testing.T) {
	r := newHarness(t, settings())
	r.next++
	out := r.step(Request{ID: r.next, Function: "f", Class: "safe", MemoryMB: 1, ConcurrencyPerInstance: 1,
		ExpectedWork: time.Microsecond, RemainingDeadline: 1500500})
	for range 40 {
		w := actionsOf[SetTimer](out)
		if len(w) == 0 {
			break
		}
		r.now += w[len(w)-1].After.Truncate(time.Microsecond)
		if out = r.step(TimerFired{}); len(actionsOf[RejectRequest](out)) > 0 {
			return
		}
	}
	t.Error("never answered")
}

func TestSilentWorkerIsPassedOverAndReturns(t *testing.T) {
	s := settings()
	s.WorkersLoadOnMiss = true
	r := newHarness(t, s, "w1", "w2", "w3")
	id, out := r.call("f", "safe")
	w := r.onlyAttempt(out).Worker
	r.step(AttemptEnded{ID: id, Worker: w, Duration: 50 * time.Millisecond, Final: true})
	for range 4 {
		r.call("f", "safe")
	}
	r.advance(1500 * time.Millisecond)
	if _, out = r.call("f", "safe"); r.onlyAttempt(out).Worker == w {
		t.Fatal("sent to a silent worker")
	}
	r.step(HealthChecked{Worker: w})
	if r.dispatcher.workers[w].suspected {
		t.Error("still doubted after an answer")
	}
}

// crowd is many routers of one fleet, driven in step.
type routerGroup struct {
	routers   []*harness
	endpoints []Endpoint
}

func newRouterGroup(t *testing.T, n int, s Settings, workers int) *routerGroup {
	t.Helper()
	c := &routerGroup{}
	for i := range workers {
		c.endpoints = append(c.endpoints, Endpoint{ID: fmt.Sprintf("w%02d", i), Kind: "big", Cell: i / 4})
	}
	s.Routers = n
	for i := range n {
		d, err := New(s, uint64(i+1))
		if err != nil {
			t.Fatal(err)
		}
		c.routers = append(c.routers, &harness{t: t, dispatcher: d, checker: newChecker(s), now: time.Second})
	}
	c.sendSnapshot()
	return c
}

// roster sends the whole list to every router.
func (c *routerGroup) sendSnapshot() {
	for _, r := range c.routers {
		r.step(EndpointUpdate{Snapshot: true, Endpoints: c.endpoints})
	}
}

// play has each router take a call every gap, each from another moment on, of the function that key names, and
// answers the sends after took, or never where that is negative. It returns what all of them did.
func (c *routerGroup) play(span, gap, took time.Duration, key func(router, call int) string) (out []Action) {
	type due struct {
		at time.Duration
		o  AttemptEnded
	}
	for i, r := range c.routers {
		open, last := []due{}, r.now+gap*time.Duration(i)/time.Duration(len(c.routers))-gap
		tries, loads := map[RequestID]int{}, []Event{}
		for n, end := 0, r.now+span; r.now < end; {
			r.now += 10 * time.Millisecond
			events := append([]Event{TimerFired{}}, loads...)
			loads = nil
			for len(open) > 0 && open[0].at <= r.now {
				events, open = append(events, open[0].o), open[1:]
			}
			if r.now >= last+gap {
				r.next++
				last, n = last+gap, n+1
				events = append(events, Request{ID: r.next, Function: key(i, n), Class: "safe", MemoryMB: 300,
					ConcurrencyPerInstance: 1, RemainingDeadline: 3 * time.Second})
			}
			for _, a := range r.step(events...) {
				if s, ok := a.(StartAttempt); ok && took >= 0 {
					open = append(open, due{r.now + took, AttemptEnded{ID: s.ID, Attempt: tries[s.ID], Worker: s.Worker,
						Duration: took, Final: true, FunctionInFlight: -1, LoadReport: NoLoadReport}})
				}
				if s, ok := a.(StartAttempt); ok {
					tries[s.ID]++
				}
				if l, ok := a.(LoadFunction); ok {
					loads = append(loads, FunctionLoaded{Worker: l.Worker, Function: l.Function, Copies: 1,
						Duration: 10 * time.Millisecond})
				}
				out = append(out, a)
			}
		}
	}
	return out
}

func TestManyRoutersTogetherSpareAColdWorker(t *testing.T) {
	s := settings()
	s.WorkersLoadOnMiss = true
	const routers, workers = 250, 20
	c := newRouterGroup(t, routers, s, workers)
	everywhere := func(_, call int) string { return fmt.Sprintf("f%d", call%40) }
	c.play(8*time.Second, 200*time.Millisecond, 50*time.Millisecond, everywhere)
	c.endpoints[7].StartedAt = c.routers[0].now
	c.sendSnapshot()
	n := 0
	for _, a := range actionsOf[StartAttempt](c.play(s.OverloadWindow, 200*time.Millisecond, 50*time.Millisecond, everywhere)) {
		if a.Worker == c.endpoints[7].ID {
			n++
		}
	}
	even := 5 * s.OverloadWindow.Seconds() * routers / workers // calls of all routers for one worker
	if most := 1.2 * even * (s.SlowStartShare + 0.1); n == 0 || float64(n) > most {
		t.Errorf("%d sends to a worker that has just started, want 1 to %.0f", n, most)
	}
}

func TestWorkAskedForButNotServedRaisesNoColdBudget(t *testing.T) {
	s := settings()
	s.WorkersLoadOnMiss = true
	c := newRouterGroup(t, 50, s, 10)
	c.play(8*time.Second, 50*time.Millisecond, -1, func(_, call int) string { return fmt.Sprintf("f%d", call%20) })
	c.endpoints[3].StartedAt = c.routers[0].now
	c.sendSnapshot()
	for _, a := range actionsOf[StartAttempt](c.play(s.OverloadWindow, 50*time.Millisecond, -1,
		func(_, call int) string { return fmt.Sprintf("f%d", call%20) })) {
		if a.Worker == c.endpoints[3].ID {
			t.Fatal("sent to a cold worker by a router that has had nothing served")
		}
	}
}

func TestFleetWindowShrinksForQueuesNotForHeavyRequests(t *testing.T) {
	for name, c := range map[string]struct {
		work    time.Duration
		load    time.Duration // within an answer, where workers load on a miss
		shrinks bool
	}{"light": {20 * time.Millisecond, 0, true}, "heavy by its hint": {800 * time.Millisecond, 0, false},
		"no longer than a load":   {20 * time.Millisecond, 1300 * time.Millisecond, false},
		"longer than a load, too": {20 * time.Millisecond, 900 * time.Millisecond, true}} {
		s := settings()
		s.Routers, s.WorkersLoadOnMiss = 100, c.load > 0
		r := newHarness(t, s, "w1", "w2", "w3")
		r.serveOnce("f", "safe")
		before := r.dispatcher.fleetLimit
		r.dispatcher.meanResponseTime = 0.5 // answers take that long of late: 1.2 s is no outlier
		for range 5 {
			r.next++
			out := r.step(Request{ID: r.next, Function: "f", Class: "safe", MemoryMB: 300, ConcurrencyPerInstance: 1, ExpectedWork: c.work,
				LoadTime: c.load, RemainingDeadline: 3 * time.Second})
			r.advance(1200 * time.Millisecond)
			r.answer(r.onlyAttempt(out), 0, AttemptEnded{Duration: 1200 * time.Millisecond, FunctionInFlight: -1, LoadReport: NoLoadReport})
		}
		if shrunk := r.dispatcher.fleetLimit < before; shrunk != c.shrinks {
			t.Errorf("%s: window %.2f, then %.2f", name, before, r.dispatcher.fleetLimit)
		}
	}
}

// answer ends an attempt as the test says.
func (r *harness) answer(s StartAttempt, attempt int, o AttemptEnded) []Action {
	r.t.Helper()
	o.ID, o.Worker, o.Attempt, o.Final = s.ID, s.Worker, attempt, o.Result == OK
	return r.step(o)
}

// warmed has a function called and served until its first-ranked worker is known to hold it.
func (r *harness) serveOnce(function, class string) string {
	r.t.Helper()
	_, out := r.call(function, class)
	s := r.onlyAttempt(out)
	r.answer(s, 0, AttemptEnded{Duration: 50 * time.Millisecond, FunctionInFlight: -1, LoadReport: NoLoadReport})
	return s.Worker
}

func TestClassRestsWhereItFailsAndOthersAreServed(t *testing.T) {
	busy := LoadReport{InFlight: 9, Queued: -1, Loading: -1}
	for name, end := range map[string]AttemptEnded{
		"error":                   {Result: Errored, Duration: 40 * time.Millisecond, LoadReport: NoLoadReport},
		"slow refusal, room left": {Result: Rejected, Duration: 200 * time.Millisecond, LoadReport: LoadReport{Queued: -1, Loading: -1}},
	} {
		s := settings()
		s.WorkersLoadOnMiss, s.LoadCommandsAllowed = true, false
		r := newHarness(t, s, "w1", "w2", "w3")
		home := r.serveOnce("f", "once")
		other := ""
		for i := 0; other == ""; i++ {
			if key := fmt.Sprintf("g%d", i); r.serveOnce(key, "safe") == home {
				other = key
			}
		}
		_, out := r.call(other, "safe")
		r.answer(r.onlyAttempt(out), 0, AttemptEnded{Duration: 50 * time.Millisecond, LoadReport: busy})
		_, out = r.call("f", "once")
		r.answer(r.onlyAttempt(out), 0, end)
		_, out = r.call("f", "once")
		if s := r.onlyAttempt(out); s.Worker == home {
			t.Errorf("%s: sent to the same worker again", name)
		} else {
			r.answer(s, 0, AttemptEnded{Duration: 50 * time.Millisecond, FunctionInFlight: -1, LoadReport: NoLoadReport})
		}
		r.advance(loadReportTTL) // by then it is not known to hold 9 any more
		if _, out = r.call(other, "safe"); r.onlyAttempt(out).Worker != home {
			t.Errorf("%s: another class left the worker too", name)
		}
		r.advance(30 * time.Second)
		if b := r.dispatcher.workers[home].ejections[r.dispatcher.classes["once"]]; r.now < b.until {
			t.Errorf("%s: the class still rests", name)
		}
	}
}

func TestManyRoutersAgreeOnHomesAndUseSplitsEvenly(t *testing.T) {
	s := settings()
	s.WorkersLoadOnMiss = true
	const routers, workers = 120, 30
	c := newRouterGroup(t, routers, s, workers)
	key := func(router, call int) string { // half of the calls for one function, the others for a hundred
		if (router+call)%2 == 0 {
			return "hot"
		}
		return fmt.Sprintf("f%d", (router*7+call*13)%100)
	}
	c.play(30*time.Second, 200*time.Millisecond, 50*time.Millisecond, key)
	for _, r := range c.routers[1:] {
		for k, f := range r.dispatcher.functions {
			if g := c.routers[0].dispatcher.functions[k]; g != nil && r.dispatcher.rankWorkers(f)[0].ID != c.routers[0].dispatcher.rankWorkers(g)[0].ID {
				t.Fatalf("%s: first-ranked worker differs", k)
			}
		}
	}
	sends := map[string]int{}
	all := actionsOf[StartAttempt](c.play(5*time.Second, 200*time.Millisecond, 50*time.Millisecond,
		func(int, int) string { return "hot" }))
	most := 0
	for _, a := range all {
		sends[a.Worker]++
		most = max(most, sends[a.Worker])
	}
	if len(sends) < workers/3 || most > len(all)/5 {
		t.Errorf("half of all calls go to %d workers, %d of %d to one", len(sends), most, len(all))
	}
}

func TestReportsCutACrowdedWorkersSlice(t *testing.T) {
	r := newHarness(t, settings(), "w1", "w2", "w3")
	for range 40 {
		r.now += 5 * time.Second
		for _, w := range r.dispatcher.activeWorkers {
			held := 3.0
			if w.ID == "w2" {
				held = 30
			}
			r.dispatcher.now = r.now
			r.dispatcher.recordLoadReport(w, held)
		}
	}
	crowded, idle := r.dispatcher.workers["w2"], r.dispatcher.workers["w1"]
	if 2*r.dispatcher.capacityFactor(crowded) > r.dispatcher.capacityFactor(idle) {
		t.Errorf("trust %.2f in a worker that holds ten times as much, %.2f in the others", r.dispatcher.capacityFactor(crowded),
			r.dispatcher.capacityFactor(idle))
	}
}

func TestLoadRation(t *testing.T) {
	s := settings()
	s.LoadRateWindow, s.LoadRateBurst, s.LoadRateRatio = 5*time.Second, 2, 0.1
	r := newHarness(t, s, "w1", "w2", "w3", "w4", "w5", "w6", "w7", "w8")
	n := 0
	for _, f := range []string{"a", "b", "c", "d", "e", "f", "g"} {
		id, out := r.call(f, "safe")
		out = r.step(AttemptEnded{ID: id, Worker: r.onlyAttempt(out).Worker, Result: NotResident})
		n += len(actionsOf[LoadFunction](out))
	}
	if n != 2 {
		t.Errorf("%d orders, want 2", n)
	}
}

func TestUnusableSettings(t *testing.T) {
	for name, change := range map[string]func(*Settings){
		"no class":      func(s *Settings) { s.Classes = nil },
		"no attempt":    func(s *Settings) { s.MaxAttempts = 0 },
		"negative span": func(s *Settings) { s.SlowStartDuration = -1 },
	} {
		s := settings()
		change(&s)
		if _, err := New(s, 1); err == nil {
			t.Errorf("%s: no error", name)
		}
	}
}

// The busy day big-1 of abuja-boxes: with a load refused, requests spent every attempt on misses within
// milliseconds and were turned away.
func TestMissesAtARestingPlaceDontSpendTheAttempts(t *testing.T) {
	r := newHarness(t, settings(), "w1")
	id, out := r.call("f", "safe")
	w := r.onlyAttempt(out).Worker
	r.step(AttemptEnded{ID: id, Worker: w, Result: NotResident})
	out = r.step(FunctionLoaded{Worker: w, Function: "f", Result: Rejected})
	if n := len(actionsOf[StartAttempt](out)) + len(actionsOf[RejectRequest](out)); n != 0 {
		t.Errorf("%v: nothing should be tried while the place rests", out)
	}
	if out = r.advance(2 * time.Second); len(actionsOf[StartAttempt](out)) == 0 {
		t.Error("not tried again after the rest")
	}
}

func TestFullWindowWaitsHereAndNewestGoesFirst(t *testing.T) {
	s := settings()
	s.WorkersLoadOnMiss = true
	r := newHarness(t, s, "w1")
	id, out := r.call("f", "safe")
	r.step(AttemptEnded{ID: id, Worker: r.onlyAttempt(out).Worker, Duration: 50 * time.Millisecond, Final: true})
	var out1 RequestID
	sends := 0
	for range 20 {
		r.now += time.Millisecond
		id, out := r.call("f", "safe")
		if n := len(actionsOf[StartAttempt](out)); n > 0 {
			out1, sends = id, sends+n
		}
	}
	if sends < int(initialLimit) || sends == 20 {
		t.Fatalf("%d out, want the window of %v", sends, initialLimit)
	}
	out = r.step(AttemptEnded{ID: out1, Worker: "w1", Duration: 60 * time.Millisecond, Final: true})
	if got := actionsOf[StartAttempt](out); len(got) == 0 || got[0].ID != r.next {
		t.Errorf("%v, want the newest, %d, first", got, r.next)
	}
}

func TestFailedLoadsRestLongerEachTime(t *testing.T) {
	r := newHarness(t, settings(), "w1")
	p := &placement{}
	last := time.Duration(0)
	for range 3 {
		r.dispatcher.backOffLoads(p)
		if rest := p.loadBackoffUntil - r.dispatcher.now; rest <= last {
			t.Errorf("rest of %v after one of %v", rest, last)
		} else {
			last = rest
		}
	}
}

// Heavy-tailed days of abuja-boxes: what can't be in time any more took the room of what still could.
func TestHeldRequestsThatCanBeInTimeGoFirst(t *testing.T) {
	s := settings()
	s.WorkersLoadOnMiss, s.Routers = true, 12 // a window of one
	r := newHarness(t, s, "w1")
	bring := func(id RequestID, work time.Duration) []Action {
		r.now += time.Millisecond
		return r.step(Request{ID: id, Function: "f", Class: "safe", MemoryMB: 300, ConcurrencyPerInstance: 1, ExpectedWork: work,
			RemainingDeadline: 3 * time.Second})
	}
	bring(1, 50*time.Millisecond)
	r.step(AttemptEnded{ID: 1, Worker: "w1", Duration: 50 * time.Millisecond, Final: true})
	r.dispatcher.workers["w1"].concurrencyLimit = 1
	bring(2, 50*time.Millisecond)
	bring(3, 50*time.Millisecond)
	bring(4, 2*time.Second)
	r.dispatcher.workers["w1"].concurrencyLimit = 1
	out := r.step(AttemptEnded{ID: 2, Worker: "w1", Duration: 50 * time.Millisecond, Final: true})
	if got := actionsOf[StartAttempt](out); len(got) == 0 || got[0].ID != 3 {
		t.Errorf("%v, want 3 first: 4 can't be in time", got)
	}
}

// fleet answers a crowd as workers would that each run ten requests at a time, 100 ms long, let fourteen wait,
// and refuse the rest. Time runs for all routers together.
type overloadedFleet struct {
	*routerGroup
	queues                        map[string][]queuedRequest // by worker, in order of arrival
	attempts                      map[string]int             // of each router's request
	events                        [][]Event
	offered, inTime, attemptCount int
	retryAfters                   []time.Duration
}

type queuedRequest struct {
	router  int
	outcome AttemptEnded
	starts  time.Duration
}

// play has each router take a call every gap.
func (f *overloadedFleet) play(span, gap time.Duration) {
	f.offered, f.inTime, f.attemptCount, f.retryAfters = 0, 0, 0, nil
	tick := 5 * time.Millisecond
	for end := f.routers[0].now + span; f.routers[0].now < end; {
		for i, r := range f.routers {
			r.now += tick
			events := append([]Event{TimerFired{}}, f.events[i]...)
			f.events[i] = nil
			if phase := gap * time.Duration(i) / time.Duration(len(f.routers)); (r.now+phase)%gap < tick {
				r.next++
				f.offered++
				events = append(events, Request{ID: r.next, Function: fmt.Sprintf("f%d", int(r.next)%40), Class: "safe",
					MemoryMB: 300, ConcurrencyPerInstance: 8, RemainingDeadline: 3 * time.Second, LoadTime: time.Second})
			}
			for _, a := range r.step(events...) {
				switch a := a.(type) {
				case StartAttempt:
					f.enqueue(i, a)
				case RejectRequest:
					f.retryAfters = append(f.retryAfters, a.RetryAfter)
				case LoadFunction:
					f.events[i] = append(f.events[i], FunctionLoaded{Worker: a.Worker, Function: a.Function, Copies: 1})
				case CheckHealth:
					f.events[i] = append(f.events[i], HealthChecked{Worker: a.Worker, LoadReport: f.loadReport(a.Worker)})
				}
			}
		}
		f.serve(f.routers[0].now)
	}
}

func (f *overloadedFleet) loadReport(w string) LoadReport {
	return LoadReport{InFlight: float64(len(f.queues[w])), Queued: -1, Loading: -1}
}

func (f *overloadedFleet) enqueue(router int, s StartAttempt) {
	key := fmt.Sprint(router, "/", s.ID)
	o := AttemptEnded{ID: s.ID, Worker: s.Worker, Attempt: f.attempts[key], FunctionInFlight: -1, LoadReport: f.loadReport(s.Worker)}
	f.attempts[key]++
	f.attemptCount++
	if len(f.queues[s.Worker]) >= 24 {
		o.Result, o.Duration = Rejected, 2*time.Millisecond
		f.events[router] = append(f.events[router], o)
		return
	}
	o.Duration = -f.routers[router].now
	f.queues[s.Worker] = append(f.queues[s.Worker], queuedRequest{router: router, outcome: o})
}

// run ends what has run for its time and starts what then finds room.
func (f *overloadedFleet) serve(now time.Duration) {
	for _, m := range f.endpoints {
		kept := f.queues[m.ID][:0]
		for i, h := range f.queues[m.ID] {
			if i < 10 && h.starts == 0 {
				h.starts = now
			}
			if h.starts > 0 && now-h.starts >= 100*time.Millisecond {
				h.outcome.Duration, h.outcome.Final = h.outcome.Duration+now, true
				if h.outcome.Duration < time.Second {
					f.inTime++
				}
				f.events[h.router] = append(f.events[h.router], h.outcome)
				continue
			}
			kept = append(kept, h)
		}
		f.queues[m.ID] = kept
	}
}

// Issue 10: in a burst of 2.7 times the usual, 186 routers made 9.8 attempts a request, as neither window
// counted what went to copies not known warm and each refusal was sent again at once.
func TestSurgeIsNotMultipliedAndEnds(t *testing.T) {
	s := settings()
	s.WorkersLoadOnMiss, s.MaxRetryAfter, s.MaxAttempts, s.HedgingAllowed = true, time.Second, 5, false
	s.LoadRateWindow, s.LoadRateBurst, s.LoadRateRatio = 5*time.Second, 4, 0.1
	f := &overloadedFleet{routerGroup: newRouterGroup(t, 60, s, 20), queues: map[string][]queuedRequest{}, attempts: map[string]int{},
		events: make([][]Event, 60)}
	f.play(8*time.Second, 60*time.Millisecond)
	f.play(2*time.Second, 60*time.Millisecond)
	calm := float64(f.attemptCount) / float64(f.offered)
	if f.inTime < f.offered*98/100 || len(f.retryAfters) > f.offered/100 {
		t.Errorf("calm: %d of %d in time, %d refused: the defence should be asleep", f.inTime, f.offered, len(f.retryAfters))
	}
	f.play(3*time.Second, 10*time.Millisecond) // three times what the fleet can do
	t.Logf("surge: %d came, %d sends, %d in time, %d refused", f.offered, f.attemptCount, f.inTime, len(f.retryAfters))
	if most := f.offered + f.offered/3 + 60*int(retryBudgetBurst); f.attemptCount > most {
		t.Errorf("surge: %d sends for %d requests, at most %d wanted", f.attemptCount, f.offered, most)
	}
	if f.inTime < 3*1000 {
		t.Errorf("surge: %d answers in time, want half of what the fleet can do", f.inTime)
	}
	distinct := map[time.Duration]bool{}
	for _, after := range f.retryAfters {
		distinct[after] = true
		if after <= 0 || after > s.MaxRetryAfter {
			t.Fatalf("advice to come back after %v", after)
		}
	}
	if len(distinct) < len(f.retryAfters)/2 {
		t.Errorf("%d refusals, but %d different times to come back", len(f.retryAfters), len(distinct))
	}
	f.play(3*time.Second, 60*time.Millisecond)
	f.play(2*time.Second, 60*time.Millisecond)
	if f.inTime < f.offered*95/100 || float64(f.attemptCount) > 1.1*calm*float64(f.offered) {
		t.Errorf("after the surge: %d of %d in time with %d sends", f.inTime, f.offered, f.attemptCount)
	}
}

// What gets no further attempt is answered in the step that decides so, with advice when to come back.
func TestGivenUpIsAnsweredAtOnce(t *testing.T) {
	s := settings()
	s.WorkersLoadOnMiss, s.MaxRetryAfter, s.HedgingAllowed = true, time.Second, false
	refused := AttemptEnded{Result: Rejected, Duration: 2 * time.Millisecond, FunctionInFlight: -1, LoadReport: NoLoadReport}
	for name, c := range map[string]struct {
		class string
		left  time.Duration
		ends  []AttemptEnded
		fails bool
		ready func(*harness)
	}{
		"attempts used up":       {"safe", 3 * time.Second, []AttemptEnded{refused, refused, refused, refused}, false, nil},
		"budget used up":         {"safe", 3 * time.Second, []AttemptEnded{refused}, false, func(r *harness) { r.dispatcher.retryBudget = 0 }},
		"can't end in time left": {"safe", 40 * time.Millisecond, nil, false, nil},
		"may have run":           {"once", 3 * time.Second, []AttemptEnded{{Result: Errored, FunctionInFlight: -1, LoadReport: NoLoadReport}}, true, nil},
		"no worker of its cell to come": {"keyed", 3 * time.Second, []AttemptEnded{{Result: ConnectionReset, FunctionInFlight: -1, LoadReport: NoLoadReport}},
			true, func(r *harness) {
				a := r.dispatcher.requests[r.next].attempts[0].worker
				for _, w := range r.dispatcher.workers {
					if w.Cell == a.Cell {
						r.step(EndpointUpdate{Endpoints: []Endpoint{{ID: w.ID, Kind: "big", Cell: w.Cell, State: EndpointDraining}}})
					}
				}
			}},
	} {
		t.Run(name, func(t *testing.T) {
			r := newHarness(t, s, "w1", "w2", "w3", "w4")
			r.next++
			out := r.step(Request{ID: r.next, Function: "f", Class: c.class, MemoryMB: 300, ConcurrencyPerInstance: 1, RemainingDeadline: c.left})
			if c.ready != nil {
				c.ready(r)
			}
			for n, o := range c.ends {
				sends := actionsOf[StartAttempt](out)
				for range 40 {
					if len(sends) > 0 {
						break
					}
					sends = actionsOf[StartAttempt](r.advance(10 * time.Millisecond))
				}
				if len(sends) != 1 {
					t.Fatalf("%d sends for attempt %d", len(sends), n)
				}
				out = r.answer(sends[0], n, o)
			}
			refuse, fail := actionsOf[RejectRequest](out), actionsOf[FailRequest](out)
			switch {
			case c.fails && (len(fail) != 1 || len(refuse) > 0), !c.fails && (len(refuse) != 1 || len(fail) > 0):
				t.Errorf("%v in the step that ends it, want a final answer", out)
			case !c.fails && (refuse[0].RetryAfter <= 0 || refuse[0].RetryAfter > s.MaxRetryAfter):
				t.Errorf("advice to come back after %v", refuse[0].RetryAfter)
			}
		})
	}
}

// A request that waits here for room was answered when its client left; it is shed when it can't be in time.
func TestHeldRequestIsShedWhenItCannotBeInTime(t *testing.T) {
	s := settings()
	s.WorkersLoadOnMiss, s.MaxRetryAfter, s.Routers, s.HedgingAllowed = true, time.Second, 12, false
	r := newHarness(t, s, "w1")
	r.serveOnce("f", "safe")
	r.dispatcher.workers["w1"].concurrencyLimit, r.dispatcher.meanResponseTime = 1, 10 // the attempt out is not overdue
	r.call("f", "safe")
	id, out := r.call("f", "safe")
	if len(actionsOf[StartAttempt](out)) > 0 {
		t.Fatal("not held")
	}
	from := r.now
	for len(actionsOf[RejectRequest](out)) == 0 && r.now < from+3*time.Second {
		r.step(HealthChecked{Worker: "w1", LoadReport: NoLoadReport}) // it is there, but has no room
		out = r.advance(10 * time.Millisecond)
	}
	refused := actionsOf[RejectRequest](out)
	if waited := r.now - from; len(refused) != 1 || refused[0].ID != id || waited > time.Second {
		t.Errorf("%v after %v, want it shed before its aim", refused, waited)
	}
}

// The grown deployments: a router hears from a worker once in ten seconds and sent to workers that held forty
// requests while others held three.
func TestCrowdedWorkerIsPassedOverByManyRouters(t *testing.T) {
	for name, c := range map[string]struct {
		probed  HealthChecked
		routers int
		leaves  bool
	}{
		"holds far more than others": {HealthChecked{LoadReport: LoadReport{InFlight: 30, Queued: -1, Loading: -1}}, 100, true},
		"holds little":               {HealthChecked{LoadReport: LoadReport{InFlight: 1, Queued: -1, Loading: -1}}, 100, false},
		"doesn't answer":             {HealthChecked{Result: TimedOut, LoadReport: NoLoadReport}, 100, false},
	} {
		s := settings()
		s.WorkersLoadOnMiss, s.LoadReports, s.Routers = true, ReportsWithResponses, c.routers
		r := newHarness(t, s, "w1", "w2", "w3", "w4")
		_, out := r.call("f", "safe")
		probes := actionsOf[CheckHealth](out)
		if len(probes) != 1 || len(actionsOf[StartAttempt](out)) > 0 {
			t.Fatalf("%s: %v, want one probe first", name, out)
		}
		c.probed.Worker = probes[0].Worker
		if s := r.onlyAttempt(r.step(c.probed)); (s.Worker != c.probed.Worker) != c.leaves {
			t.Errorf("%s: asked %s, sent to %s", name, c.probed.Worker, s.Worker)
		}
		r.now += time.Millisecond
		r.call("f", "safe")
		if out = r.advance(30 * time.Millisecond); c.probed.Result == TimedOut && len(actionsOf[StartAttempt](out)) != 1 {
			t.Errorf("%s: %v, want it sent without a report", name, out)
		}
	}
	few := newHarness(t, settings(), "w1", "w2", "w3", "w4")
	few.dispatcher.settings.LoadReports = ReportsWithResponses
	probes := 0
	for i := range 40 {
		_, out := few.call(fmt.Sprintf("f%d", i), "safe")
		probes += len(actionsOf[CheckHealth](out))
	}
	if probes > 20 {
		t.Errorf("one router of four workers probes %d times for 40 calls", probes)
	}
}

// Incident i654813: a fifth of the attempts was never answered and filled a router's part of the fleet window, 1.8
// attempts, for the five seconds until their clients left; 60% of the requests were turned away meanwhile.
func TestUnansweredAttemptsDontFillTheWindow(t *testing.T) {
	s := settings()
	s.WorkersLoadOnMiss, s.HedgingAllowed, s.Routers = true, false, 60
	r := newHarness(t, s, "w1", "w2", "w3", "w4", "w5", "w6", "w7", "w8", "w9")
	for i := range 9 {
		r.serveOnce(fmt.Sprintf("f%d", i), "safe")
	}
	for range 20 { // no answer to any of these
		for i := range 9 {
			r.call(fmt.Sprintf("f%d", i), "safe")
		}
		if r.dispatcher.inFlight+1 > r.dispatcher.fleetLimit*r.dispatcher.fleetShare {
			break
		}
	}
	if r.dispatcher.inFlight+1 <= r.dispatcher.fleetLimit*r.dispatcher.fleetShare {
		t.Fatalf("%.1f of %.1f attempts out, want the window full", r.dispatcher.inFlight, r.dispatcher.fleetLimit*r.dispatcher.fleetShare)
	}
	if out := r.advance(700 * time.Millisecond); len(actionsOf[StartAttempt](out)) < 2 {
		t.Errorf("%v, want what is held sent: what is out is long overdue", out)
	}
}

// A request waited for a load that could not end before its client left, and was answered only then.
func TestLoadThatEndsTooLateIsNotWaitedFor(t *testing.T) {
	s := settings()
	s.MaxRetryAfter = time.Second
	r := newHarness(t, s, "w1")
	r.next++
	out := r.step(Request{ID: r.next, Function: "f", Class: "safe", MemoryMB: 300, ConcurrencyPerInstance: 1, LoadTime: 2 * time.Second,
		RemainingDeadline: time.Second})
	out = r.answer(r.onlyAttempt(out), 0, AttemptEnded{Result: NotResident, FunctionInFlight: -1, LoadReport: NoLoadReport})
	if refused := actionsOf[RejectRequest](out); len(refused) != 1 || refused[0].RetryAfter <= 0 {
		t.Errorf("%v, want a refusal at once: the load takes two seconds and the client has one", out)
	}
}

// answered warms a function up at its home and returns a request with an attempt out there.
func (r *harness) out(function, class string) (RequestID, StartAttempt) {
	r.t.Helper()
	id, actions := r.call(function, class)
	return id, r.onlyAttempt(actions)
}

func TestStreamThatHasBegunIsTheClients(t *testing.T) {
	for _, class := range []string{"safe", "once", "keyed"} {
		r := newHarness(t, settings(), "w1", "w2", "w3")
		id, s := r.out("f", class)
		r.now += 20 * time.Millisecond
		if got := r.step(ResponseStarted{ID: id, Attempt: 0, Worker: s.Worker, Duration: 20 * time.Millisecond}); len(actionsOf[StartAttempt](got)) > 0 {
			t.Fatalf("%s: sent again: %v", class, got)
		}
		// Long past the aim and what answers take: no second copy, no cancel, no refusal. The checker watches too.
		got := r.advance(2500 * time.Millisecond)
		if n := len(actionsOf[StartAttempt](got)) + len(actionsOf[CancelAttempt](got)) + len(actionsOf[RejectRequest](got)) + len(actionsOf[FailRequest](got)); n > 0 {
			t.Fatalf("%s: acted on a stream under way: %v", class, got)
		}
		got = r.advance(600 * time.Millisecond)
		if len(actionsOf[FailRequest](got)) != 1 || len(actionsOf[RejectRequest](got)) != 0 {
			t.Fatalf("%s: at the deadline: %v, want one Fail", class, got)
		}
	}
}

func TestStreamThatBreaksIsNotSentAgain(t *testing.T) {
	for _, class := range []string{"safe", "once", "keyed"} {
		r := newHarness(t, settings(), "w1", "w2", "w3")
		id, s := r.out("f", class)
		r.step(ResponseStarted{ID: id, Attempt: 0, Worker: s.Worker, Duration: 20 * time.Millisecond})
		// A caller owes Final here; without it the module still sends nothing.
		got := r.step(AttemptEnded{ID: id, Attempt: 0, Worker: s.Worker, Result: ConnectionReset, Duration: time.Second, LoadReport: NoLoadReport})
		if len(actionsOf[StartAttempt](got)) > 0 || len(actionsOf[RejectRequest](got)) > 0 {
			t.Fatalf("%s: %v", class, got)
		}
	}
}

// TestLongStreamsRaiseNoDoubt guards against a worker that is passed over because its streams' readers are slow.
func TestLongStreamsRaiseNoDoubt(t *testing.T) {
	r := newHarness(t, settings(), "w1", "w2", "w3")
	for range 8 {
		id, s := r.out("f", "safe")
		r.step(ResponseStarted{ID: id, Attempt: 0, Worker: s.Worker, Duration: 20 * time.Millisecond})
	}
	r.advance(2 * time.Second)
	for _, w := range r.dispatcher.activeWorkers {
		if r.dispatcher.detectSilence(w) {
			t.Errorf("%s is doubted", w.ID)
		}
	}
	before := r.dispatcher.meanResponseTime
	for id := RequestID(1); id <= 8; id++ {
		r.step(AttemptEnded{ID: id, Attempt: 0, Result: OK, Final: true, Duration: 2 * time.Second, LoadReport: NoLoadReport})
	}
	if r.dispatcher.meanResponseTime > before {
		t.Errorf("answers are held to take %v s, before %v: the streams' length was learned", r.dispatcher.meanResponseTime, before)
	}
}

// TestSlowReadersKeepNobodyOut guards against streams that are read slowly and fill the windows for good.
func TestSlowReadersKeepNobodyOut(t *testing.T) {
	r := newHarness(t, settings(), "w1")
	for range 4 { // the copy is known to stand: what follows counts in full
		id, s := r.out("f", "safe")
		r.now += 20 * time.Millisecond
		r.step(AttemptEnded{ID: id, Worker: s.Worker, Result: OK, Final: true, Duration: 20 * time.Millisecond, LoadReport: NoLoadReport})
	}
	streams := 0
	for range 60 {
		id, got := r.call("f", "safe")
		if s := actionsOf[StartAttempt](got); len(s) == 1 {
			streams++
			r.step(ResponseStarted{ID: id, Attempt: 0, Worker: s[0].Worker, Duration: 20 * time.Millisecond})
		}
	}
	if streams == 0 || streams == 60 {
		t.Fatalf("%d streams of 60 were begun: the window was not met", streams)
	}
	r.advance(2 * time.Second)
	if _, got := r.call("f", "safe"); len(actionsOf[StartAttempt](got)) == 0 {
		t.Errorf("with %d streams read slowly nothing is sent any more: %v", streams, got)
	}
}

// TestClosingAnswersAllInTime: what is in hand when the router is told of its end has its answer by then: a refusal where
// trying again is harmless, a failure elsewhere; what is in time anyway is left alone.
func TestClosingAnswersAllInTime(t *testing.T) {
	s := settings()
	s.WorkersLoadOnMiss = true
	r := newHarness(t, s, "a", "b", "c")
	all := map[RequestID]string{1: "safe", 2: "once", 3: "safe"}
	left := map[RequestID]time.Duration{1: time.Hour, 2: time.Hour, 3: 200 * time.Millisecond}
	for id := RequestID(1); id <= 3; id++ {
		r.step(Request{ID: id, Function: "f", Class: all[id], MemoryMB: 300, ConcurrencyPerInstance: 1, RemainingDeadline: left[id]})
	}
	r.step(ShutdownStarted{AnswerWithin: time.Second})
	ends := map[RequestID]time.Duration{}
	begin := r.now
	for range 150 {
		r.now += 10 * time.Millisecond
		for _, a := range r.step(TimerFired{}) {
			switch a := a.(type) {
			case RejectRequest:
				ends[a.ID] = r.now - begin
				if all[a.ID] != "safe" {
					t.Errorf("%d refused", a.ID)
				}
			case FailRequest:
				ends[a.ID] = r.now - begin
				if all[a.ID] != "once" {
					t.Errorf("%d failed", a.ID)
				}
			}
		}
	}
	for id, want := range map[RequestID]time.Duration{1: time.Second, 2: time.Second, 3: 200 * time.Millisecond} {
		if at, ok := ends[id]; !ok || at < want-10*time.Millisecond || at > want+20*time.Millisecond {
			t.Errorf("%d ended after %v (%v), want %v", id, at, ok, want)
		}
	}
}

// TestProbesBeforeSendsGoByTheirPrice: they are bought at the price of most deployments, and not where they are dear.
func TestProbesBeforeSendsGoByTheirPrice(t *testing.T) {
	for price, want := range map[float64]bool{0: true, 0.01: true, 0.08: false} {
		s := settings()
		s.WorkersLoadOnMiss, s.LoadReports, s.HealthCheckCost = true, ReportsWithResponses, price
		r := newHarness(t, s, "a", "b", "c", "d")
		n := 0
		for i := range 20 {
			_, out := r.call(fmt.Sprint("f", i), "safe")
			n += len(actionsOf[CheckHealth](out))
		}
		if (n > 0) != want {
			t.Errorf("at a price of %v: %d probes", price, n)
		}
	}
}
