package httprouter

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/topazfront/topazfront/dispatch"
	"github.com/topazfront/topazfront/internal/fake/fakeplatform"
	"github.com/topazfront/topazfront/internal/invariants"
	"github.com/topazfront/topazfront/internal/router"
)

// settings are those of a small fleet; times are in microseconds, as the simulator tells them.
const settings = `{"az":"z","balancers":1,"host_types":["k"],
 "classes":[{"name":"safe","semantics":"read_like","target":2000000,"deadline":8000000,"worth":1.0},
  {"name":"keyed","semantics":"idempotency_key","dedup_scope":"cell","window":6000000,"target":2000000,"deadline":8000000,"worth":1.0},
  {"name":"unsafe","semantics":"non_idempotent","target":2000000,"deadline":8000000,"worth":1.0}],
 "family_info":{"when_absent":"load","may_order":true,"free_loads":4,"load_ratio":0.1,"load_span":5000000,"linger_idle":4000000,
  "kind_memory_mb":[8000],"order_timeout":4000000},
 "feedback":{"how":"piggyback","fields":["active"]},
 "limits":{"send_cap":5,"may_probe":true,"cancel":true,"second_copies":true,"retry_after":true,"max_retry_after":1000000,
  "connect_timeout":2000000,"idle_close":15000000,"streams_per_conn":32},
 "safety":{"drain_grace":500000,"start_capacity":0.2,"warm_within":16000000,"overload_factor":3,"fall":1500000,"grace_to_answer":5000}}`

func file(channel, known string) string { return fileOf(settings, channel, known) }

func fileOf(settings, channel, known string) string {
	return fmt.Sprintf(`{"name":"r","listen":"127.0.0.1:0","seed":"8c1f30d27a5be964",
 "limits":{"cores":1.0,"memory_mb":64,"sockets":256},"channel":%q,"known":%s,"settings":%s}`, channel, known, settings)
}

// fleet is three workers, a channel that lists them, and a router before them.
type fleet struct {
	t       *testing.T
	log     *invariants.Log
	workers []*fakeplatform.Worker
	channel *fakeplatform.Channel
	node    *Node
	client  *fakeplatform.Client
	mu      sync.Mutex
	next    int
}

func newFleet(t *testing.T, decider func(dispatch.Settings, uint64) (router.Dispatcher, error)) *fleet {
	t.Helper()
	return newFleetOf(t, settings, decider)
}

// newFleetOf is a fleet whose router has settings of its own.
func newFleetOf(t *testing.T, settings string, decider func(dispatch.Settings, uint64) (router.Dispatcher, error)) *fleet {
	t.Helper()
	f := &fleet{t: t, log: invariants.NewLog()}
	var list []string
	for i, id := range []string{"a", "b", "c"} {
		w := &fakeplatform.Worker{ID: id, Log: f.log, Work: 2 * time.Millisecond, Drop: "keyed"}
		if err := w.Start("127.0.0.1:0"); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(w.Stop)
		f.workers = append(f.workers, w)
		list = append(list, fmt.Sprintf("%s %s active %d", id, w.Addr(), i))
	}
	var err error
	if f.channel, err = fakeplatform.StartChannel(fakeplatform.Nodes(true, list...)); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.channel.Stop)
	cfg, err := Parse([]byte(fileOf(settings, f.channel.Addr(), f.channel.Known())))
	if err != nil {
		t.Fatal(err)
	}
	if f.node, err = Start(cfg, Options{Decider: decider}); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.node.Kill)
	tr := &http.Transport{MaxIdleConnsPerHost: 64}
	t.Cleanup(tr.CloseIdleConnections)
	f.client = &fakeplatform.Client{Base: "http://" + f.node.Addr(), Log: f.log, HTTP: &http.Client{Transport: tr}}
	return f
}

// call makes one call of a class; the functions are few, so that copies are shared.
func (f *fleet) call(class string) int {
	f.mu.Lock()
	f.next++
	id := fmt.Sprintf("%016x", f.next)
	fn := fmt.Sprintf("%016x", f.next%5+1)
	f.mu.Unlock()
	status, body := f.client.Call(id, class, fn, 8*time.Second)
	if status == 200 && body != "done "+id {
		f.t.Errorf("call %s was served with %q", id, body)
	}
	return status
}

// calls makes n calls of each class, some at once, and returns how many were served.
func (f *fleet) calls(n int) (served int) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	room := make(chan struct{}, 12)
	for range n {
		for _, class := range []string{"safe", "keyed", "unsafe"} {
			room <- struct{}{}
			wg.Go(func() {
				if f.call(class) == 200 {
					mu.Lock()
					served++
					mu.Unlock()
				}
				<-room
			})
		}
	}
	wg.Wait()
	return served
}

// settings are those of the checker; the recording delay is long, as a loaded machine may stand between a send and its record.
func (f *fleet) settings() invariants.Settings {
	return invariants.Settings{Classes: map[string]invariants.Class{"safe": {Idempotency: "safe", RetryHarmless: true, MeanWork: 5 * time.Millisecond},
		"keyed": {Idempotency: "keyed", MeanWork: 5 * time.Millisecond}, "unsafe": {Idempotency: "unsafe", MeanWork: 5 * time.Millisecond}},
		ResponseGrace: 2 * time.Second, DrainGrace: 500 * time.Millisecond, LoadRateWindow: 5 * time.Second, LoadRateBurst: 4, LoadRateRatio: 0.1,
		RecordingDelay: time.Second}
}

func (f *fleet) kept() {
	f.t.Helper()
	for _, b := range invariants.Check(f.settings(), f.log.Records()) {
		f.t.Error(b)
	}
}

// tell has the channel tell of a worker, and waits until the router has heard.
func (f *fleet) tell(workers ...string) {
	f.t.Helper()
	before := f.node.feed.Stats().Cursor
	f.channel.Tell(fakeplatform.Nodes(false, workers...))
	for range 4000 {
		if f.node.feed.Stats().Cursor > before {
			f.node.router.Stats() // the loop has followed by the turn after the one that answers first
			f.node.router.Stats()
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	f.t.Fatal("the router does not hear of the change")
}

// TestADayOnThePlatform: workers drain, die, are replaced at their address, and spoil answers; the channel moves. The
// rules hold by what workers and clients saw, and nearly all calls are served.
func TestADayOnThePlatform(t *testing.T) {
	f := newFleet(t, nil)
	resp, err := f.client.HTTP.Get(f.client.Base + "/ping")
	if err != nil || resp.StatusCode != 200 {
		t.Fatal(resp, err)
	}
	_ = resp.Body.Close()
	if n := f.calls(20); n < 55 {
		t.Errorf("%d of 60 served with nothing wrong", n)
	}

	// a drains. Its process goes on, so that what is still sent there shows.
	f.tell("a " + f.workers[0].Addr() + " leaving")
	f.log.Add(invariants.Record{Kind: invariants.EndpointNotified, Router: "r", Worker: "a", Unavailable: true})
	f.calls(20)

	// a has gone, and d comes at its address.
	addr := f.workers[0].Addr()
	f.workers[0].Stop()
	d := &fakeplatform.Worker{ID: "d", Log: f.log, Work: 2 * time.Millisecond, Drop: "keyed"}
	if err := d.Start(addr); err != nil {
		t.Skip("the address was taken by another process:", err)
	}
	defer d.Stop()
	f.tell("a "+addr+" left", fmt.Sprintf("d %s active 0", addr))
	f.calls(30)
	if !slices.ContainsFunc(d.Got(), func(r fakeplatform.Request) bool { return r.Verb == "exec" }) {
		t.Error("the new worker at the old address got nothing")
	}

	// b spoils one answer in eight, after it has run.
	var mu sync.Mutex
	n := 0
	f.workers[1].Act = func(r fakeplatform.Request) {
		mu.Lock()
		n++
		spoil := n%8 == 0 && r.Verb == "exec"
		mu.Unlock()
		if !spoil {
			go f.workers[1].Healthy(r)
			return
		}
		f.workers[1].Run(r)
		r.Conn.Raw("*4\r\n$16\r\nnoise")
	}
	f.calls(30)

	// The channel moves, and c drains by the new one.
	to, err := fakeplatform.StartChannel(`"x":1`, `"x":2`, `"x":3`)
	if err != nil {
		t.Fatal(err)
	}
	defer to.Stop()
	next, err := Parse([]byte(file(to.Addr(), f.channel.Known())))
	if err != nil {
		t.Fatal(err)
	}
	f.node.Move(next)
	f.channel = to
	f.tell("c " + f.workers[2].Addr() + " leaving")
	f.log.Add(invariants.Record{Kind: invariants.EndpointNotified, Router: "r", Worker: "c", Unavailable: true})
	f.calls(10)
	f.kept()
}

// breaker is a decider that breaks one rule on purpose.
type breaker struct {
	rule    int
	workers []dispatch.Endpoint
	n       int
	late    []dispatch.RequestID // held until their clients' time is over
}

func (b *breaker) Step(_ time.Duration, events []dispatch.Event) (out []dispatch.Action) {
	for _, e := range events {
		switch e := e.(type) {
		case dispatch.TimerFired:
			for _, id := range b.late {
				out = append(out, dispatch.RejectRequest{ID: id})
			}
			b.late = nil
		case dispatch.EndpointUpdate:
			b.workers = e.Endpoints
		case dispatch.AttemptEnded: // the next worker is tried where nothing ran
			if b.n++; e.Result == dispatch.NotSent && !e.Final {
				out = append(out, dispatch.StartAttempt{ID: e.ID, Worker: b.workers[b.n%len(b.workers)].ID})
			}
		case dispatch.Request:
			b.n++
			w := b.workers[b.n%len(b.workers)].ID
			switch b.rule {
			case 1: // answers once the client's time is over
				b.late = append(b.late, e.ID)
				out = append(out, dispatch.SetTimer{After: e.RemainingDeadline + 300*time.Millisecond})
				continue
			case 2: // runs twice
				out = append(out, dispatch.StartAttempt{ID: e.ID, Worker: b.workers[0].ID}, dispatch.StartAttempt{ID: e.ID, Worker: b.workers[1].ID})
				continue
			case 5:
				out = append(out, dispatch.LoadFunction{Worker: w, Function: e.Function, Copies: 1})
			}
			out = append(out, dispatch.StartAttempt{ID: e.ID, Worker: w})
		}
	}
	return out
}

// TestTheCheckCanFail breaks each rule on purpose, in what decides or in what the router is told, and sees it found.
func TestTheCheckCanFail(t *testing.T) {
	for rule, about := range map[int]string{1: "an answer after the deadline", 2: "an effect twice", 3: "a drain not heard of",
		4: "a fresh start not heard of", 5: "orders without ration"} {
		t.Run(about, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, func(dispatch.Settings, uint64) (router.Dispatcher, error) { return &breaker{rule: rule}, nil })
			settings := f.settings()
			switch rule {
			case 1:
				settings.ResponseGrace = 0
				f.client.Call(fmt.Sprintf("%016x", 1<<20), "safe", fmt.Sprintf("%016x", 1), 200*time.Millisecond)
			case 3:
				f.log.Add(invariants.Record{Kind: invariants.EndpointNotified, Router: "r", Worker: "a", Unavailable: true})
				settings.DrainGrace, settings.RecordingDelay = 0, 0
			case 4:
				f.log.Add(invariants.Record{Kind: invariants.WorkerStarted, Worker: "a"})
				settings.SlowStartDuration, settings.SlowStartShare, settings.OverloadMultiple, settings.OverloadWindow = time.Hour, 0.2, 3, 1500*time.Millisecond
				settings.Capacity = map[string]float64{"a": 0.001}
			}
			if rule != 1 {
				f.calls(20)
			}
			found := invariants.Check(settings, f.log.Records())
			if !slices.ContainsFunc(found, func(b invariants.Violation) bool { return b.Rule == rule }) {
				t.Errorf("rule %d broken on purpose, and found %v", rule, found)
			}
		})
	}
}

// TestDrainedWorkersGetNothing: with a decider that knows of no drains, the exit's own check keeps the rule.
func TestDrainedWorkersGetNothing(t *testing.T) {
	f := newFleet(t, func(dispatch.Settings, uint64) (router.Dispatcher, error) { return &breaker{}, nil })
	f.calls(3)
	f.tell("a " + f.workers[0].Addr() + " leaving")
	before := len(f.workers[0].Got())
	f.calls(10)
	if got := len(f.workers[0].Got()); got != before {
		t.Errorf("%d messages to a worker that drains", got-before)
	}
	f.tell("a " + f.workers[0].Addr() + " active") // it stays after all
	f.calls(10)
	if len(f.workers[0].Got()) == before {
		t.Error("nothing to a worker that is listed as active again")
	}
}

// TestSignals: clients that come, and requests on open connections, are served for a while after it; then all that
// was taken has its answer, and the process ends well. SIGHUP before it moves the channel, and a bad file does not.
func TestSignals(t *testing.T) {
	f := newFleet(t, nil)
	f.node.Kill()
	path := filepath.Join(t.TempDir(), "config.json")
	write := func(s string) {
		t.Helper()
		if err := os.WriteFile(path, []byte(s), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(file(f.channel.Addr(), f.channel.Known()))
	read, out := io.Pipe()
	lines := make(chan string, 1<<12)
	go func() {
		buf := make([]byte, 1<<16)
		for {
			n, err := read.Read(buf)
			if err != nil {
				return
			}
			lines <- string(buf[:n])
		}
	}()
	defer func() { _ = out.Close() }()
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	ended := make(chan error, 1)
	go func() { ended <- Run(ctx, path, slog.New(slog.NewTextHandler(out, nil))) }()
	line := func(of string) string {
		t.Helper()
		for {
			select {
			case l := <-lines:
				if strings.Contains(l, of) {
					return l
				}
			case <-time.After(20 * time.Second):
				t.Fatalf("no line with %q", of)
			}
		}
	}
	_, addr, _ := strings.Cut(line("msg=serving"), "address=")
	addr, _, _ = strings.Cut(addr, " ")
	f.client.Base = "http://" + addr
	if status := f.call("safe"); status != 200 {
		t.Errorf("status %d", status)
	}
	hup := func() {
		t.Helper()
		if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
	}
	write(`{"name":"r","listen"`)
	hup()
	line("refused")
	to, err := fakeplatform.StartChannel(`"x":1`, `"x":2`)
	if err != nil {
		t.Fatal(err)
	}
	defer to.Stop()
	write(file(to.Addr(), f.channel.Known()))
	hup()
	if n := <-to.Asked(); n != 1 {
		t.Errorf("asked from %d at the new address", n)
	}
	stop() // as SIGTERM does
	line("msg=stopping")
	last, err := fakeplatform.StartChannel(`"x":1`, `"x":2`, `"x":3`)
	if err != nil {
		t.Fatal(err)
	}
	defer last.Stop()
	write(file(last.Addr(), f.channel.Known()))
	hup() // in the same breath: workers drain while the last calls are served
	if n := fakeplatform.Await(t, last.Asked(), "a question at the last address"); n != 2 {
		t.Errorf("asked from %d at the last address", n)
	}
	f.workers[0].Work = 0
	began := time.Now()
	served := 0
	for time.Since(began) < acceptFor/2 {
		if f.call("safe") == 200 {
			served++
		}
		f.client.HTTP.CloseIdleConnections()
	}
	if served == 0 {
		t.Error("nobody is served after SIGTERM")
	}
	select {
	case err := <-ended:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(30 * time.Second):
		t.Fatal("the process does not end")
	}
	f.kept()
}

// TestSettingsOfOtherDeployments: whatever optional part is missing or odd, the router starts, serves a call of its first
// class at a worker that it has to load, and stops with nothing lost.
func TestSettingsOfOtherDeployments(t *testing.T) {
	class := func(i int) string {
		kinds := []string{`"read_like"`, `"non_idempotent"`, `"idempotency_key","dedup_scope":"all","window":5000000`}
		return fmt.Sprintf(`{"name":"c%d","semantics":%s,"target":1000000,"deadline":20000000}`, i, kinds[i%3])
	}
	twenty := make([]string, 20)
	for i := range twenty {
		twenty[i] = class(i)
	}
	one := `"classes":[` + class(0) + `]`
	for name, settings := range map[string]string{
		"one class and nothing else": `{` + one + `}`,
		"twenty classes":             `{"classes":[` + strings.Join(twenty, ",") + `]}`,
		"loads, no orders":           `{` + one + `,"family_info":{"when_absent":"load","may_order":false}}`,
		"orders without a ration":    `{` + one + `,"family_info":{"when_absent":"miss","may_order":true}}`,
		"orders, ration of nothing":  `{` + one + `,"family_info":{"when_absent":"load","may_order":true,"free_loads":0,"load_ratio":0,"load_span":5000000}}`,
		"no probes, no cancel":       `{` + one + `,"limits":{"send_cap":2,"may_probe":false,"cancel":false},"feedback":{"how":"pull","fields":["waiting"]}}`,
		"unknown feedback":           `{` + one + `,"feedback":{"how":"carrier pigeon","fields":[]},"limits":{"send_cap":9}}`,
		"a cold span without a rule": `{` + one + `,"safety":{"start_capacity":0,"warm_within":9000000,"overload_factor":0,"fall":0}}`,
		"nulls": `{` + one + `,"az":null,"azs":null,"projects":null,"host_types":null,"family_info":null,"limits":null,"safety":null,
			"feedback":null,"prices":null}`,
		"tenants, worth and costs of nothing": `{"classes":[{"name":"c0","semantics":"read_like","target":0,"deadline":20000000,"worth":0,"late_share":0}],
			"projects":[{"name":"p","quota_per_s":0,"share":0}],"over_share_worth":0,"prices":{"probe":0,"handshake":0}}`,
		"three hundred routers": `{` + one + `,"balancers":300,"family_info":{"when_absent":"load"},"limits":{"send_cap":3,"may_probe":true,"cancel":true}}`,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleetOf(t, settings, nil)
			for i := range 3 {
				status, body := f.client.Call(fmt.Sprintf("%016x", i+1), "c0", fmt.Sprintf("%016x", 7), 20*time.Second)
				if status != 200 || body != fmt.Sprintf("done %016x", i+1) {
					t.Errorf("call %d: %d %q", i, status, body)
				}
			}
			if lost := f.node.Stop(); lost != 0 {
				t.Errorf("%d lost", lost)
			}
		})
	}
}

// TestAStopAnswersWhatWorkersDoNot: clients wait for longer than the process lives on after SIGTERM, and workers say
// nothing. Each class gets the final answer that its effect allows, before the end.
func TestAStopAnswersWhatWorkersDoNot(t *testing.T) {
	f := newFleet(t, nil)
	for _, w := range f.workers {
		w.Act = func(fakeplatform.Request) {}
	}
	got := make(chan [2]string, 3)
	for i, class := range []string{"safe", "keyed", "unsafe"} {
		go func() {
			status, _ := f.client.Call(fmt.Sprintf("%016x", 100+i), class, fmt.Sprintf("%016x", 7), time.Minute)
			got <- [2]string{class, fmt.Sprint(status)}
		}()
	}
	for range 4000 {
		if f.node.front.Stats().Open == 3 {
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
	if lost := f.node.Stop(); lost != 0 {
		t.Errorf("%d calls without an answer", lost)
	}
	want := map[string]string{"safe": "503", "keyed": "502", "unsafe": "502"}
	for range 3 {
		if a := fakeplatform.Await(t, got, "an answer"); a[1] != want[a[0]] {
			t.Errorf("%s: status %s, want %s", a[0], a[1], want[a[0]])
		}
	}
}

func TestConfigurationsThatAreWrongAreNamed(t *testing.T) {
	good := file("127.0.0.1:1", `{"cursor":1,"cmds":[{"cursor":1,`+fakeplatform.Nodes(true, "a 127.0.0.1:1 active")+`}]}`)
	if _, err := Parse([]byte(good)); err != nil {
		t.Fatal(err)
	}
	for old, new := range map[string]string{
		`"seed":"8c1f30d27a5be964"`: `"seed":"x"`, `"listen":"127.0.0.1:0"`: `"listen":"nowhere"`,
		`"channel":"127.0.0.1:1"`: `"channel":""`, `"memory_mb":64`: `"memory_mb":0`, `"sockets":256`: `"sockets":3`,
		`"known":`: `"unknown":`, `"settings":`: `"other":`, `"read_like"`: `"odd"`, `"id":"a"`: `"id":""`,
	} {
		name, _, _ := strings.Cut(strings.Trim(old, `"`), `"`)
		if _, err := Parse([]byte(strings.Replace(good, old, new, 1))); err == nil {
			t.Errorf("%s: taken", name)
		}
	}
}

// TestShares: what is divided never exceeds the limits, at the least and the most that the platform gives.
func TestShares(t *testing.T) {
	for _, c := range []Config{{Cores: 1, MemoryMB: 32, Sockets: 256}, {Cores: 0.5, MemoryMB: 192, Sockets: 1024}} {
		s := c.Shares()
		if s.Clients < c.Sockets/3 || s.Clients+s.Workers+24 > c.Sockets || s.Memory >= int64(c.MemoryMB)<<20 || s.Procs < 1 {
			t.Errorf("%+v of %+v", s, c)
		}
	}
}
