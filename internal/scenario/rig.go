package scenario

import (
	"fmt"
	"log/slog"
	"math"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"gonum.org/v1/gonum/stat/distuv"

	"github.com/topazfront/topazfront/dispatch"
	"github.com/topazfront/topazfront/internal/config"
	"github.com/topazfront/topazfront/internal/fake/fakeclient"
	"github.com/topazfront/topazfront/internal/fake/fakeworker"
	"github.com/topazfront/topazfront/internal/grpcgateway"
	"github.com/topazfront/topazfront/internal/invariants"
	"github.com/topazfront/topazfront/internal/router"
	"github.com/topazfront/topazfront/internal/transport/http2"
)

// Options are how a day is played.
type Options struct {
	Dir      string // for the lists; empty: a temporary folder
	Log      *slog.Logger
	Decider  func(dispatch.Settings, uint64) (router.Dispatcher, error) // nil: the module
	Progress func(Progress)                                             // told four times a second
	Begun    func(*Rig)                                                 // told when all is up
	Stop     <-chan struct{}                                            // ends the day early
	Alter    func(*config.Gateway)                                      // changes the routers' settings, for mutations
}

// Progress is how a day stands.
type Progress struct {
	At, Length             time.Duration
	Asked, Served, Refused int
	Failed, Open           int
	Troubles               []string
}

// Rig is a day under way.
type Rig struct {
	script  *Script
	opt     Options
	dir     string
	log     *invariants.Log
	store   *fakeworker.Store
	routers []*slot
	models  map[string]fakeworker.Model
	tally   *tally
	party   *party // nil: no gossip

	mu       sync.Mutex
	rng      *rand.Rand // for troubles and traffic
	members  []*member
	version  int
	late     time.Duration // what the list comes later than usual
	rate     float64       // multiple of the usual traffic
	toOne    float64       // share of the traffic that goes to the first router
	hot      float64       // share of the calls that go to new models
	tail     map[string]Trouble
	troubles map[string]int
	cells    map[int]*fakeworker.Cell
	made     int
	dead     []*fakeworker.Worker // replaced ones
	done     bool
	silences []silent
}

// member is a worker's place in the list.
type member struct {
	w        *fakeworker.Worker
	line     config.Worker
	capacity float64
	hidden   bool // its death has been noticed
}

// slot is one router's place.
type slot struct {
	n, lives int
	file     string

	mu     sync.Mutex
	name   string
	g      *grpcgateway.Gateway
	client *fakeclient.Client
	seen   int             // version of the list delivered last
	told   map[string]bool // by worker: on
}

// Play plays a script to its end and reports.
func Play(s *Script, o Options) (*Report, error) {
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	r := &Rig{script: s, opt: o, dir: o.Dir, log: invariants.NewLog(), rng: rand.New(rand.NewPCG(s.Seed, 1)), rate: 1,
		store: fakeworker.NewStore(s.Store.Rate, s.Store.Limit), models: map[string]fakeworker.Model{},
		tail: map[string]Trouble{}, troubles: map[string]int{}, cells: map[int]*fakeworker.Cell{}, tally: newTally(s)}
	if r.dir == "" {
		dir, err := os.MkdirTemp("", "topazfront-day-")
		if err != nil {
			return nil, err
		}
		defer func() { _ = os.RemoveAll(dir) }()
		r.dir = dir
	}
	for _, c := range s.Classes {
		for i := range c.Models + 1 {
			name := fmt.Sprintf("%s-%d", c.Name, i)
			if i == c.Models {
				name = c.Name + "-new"
			}
			r.models[name] = fakeworker.Model{Name: name, Class: c.Name, MemoryMB: c.MemoryMB, Lanes: c.Lanes, Load: c.Load.D()}
		}
	}
	defer r.close()
	for i := range s.Fleet.Workers {
		if _, err := r.hire(i, false); err != nil {
			return nil, err
		}
	}
	if s.Gossip != nil {
		var err error
		if r.party, err = newParty(s, r.dir); err != nil {
			return nil, err
		}
		defer r.party.end()
	}
	for i := range s.Routers {
		sl := &slot{n: i, file: filepath.Join(r.dir, fmt.Sprintf("workers-%d.json", i)), told: map[string]bool{}}
		r.routers = append(r.routers, sl)
		r.deliver(sl, r.version, r.lines())
		if err := r.launch(sl); err != nil {
			return nil, err
		}
	}
	if r.party != nil {
		if err := r.party.begin(r); err != nil {
			return nil, err
		}
	}
	if o.Begun != nil {
		o.Begun(r)
	}
	began := time.Now()
	for _, t := range s.Trouble {
		r.later(t.At.D(), func() { r.begin(t) })
	}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() { r.watch(stop, began) })
	r.traffic(began)
	r.mu.Lock()
	r.done = true
	r.mu.Unlock()
	r.tally.wait(r.longest() + 3*time.Second)
	close(stop)
	wg.Wait()
	var word *GossipReport
	if r.party != nil {
		word = r.party.report(r)
	}
	for _, sl := range r.routers {
		sl.g.Stop()
	}
	out := r.report()
	out.Gossip = word
	return out, nil
}

func (r *Rig) longest() (d time.Duration) {
	for _, c := range r.script.Classes {
		d = max(d, c.Deadline.D())
	}
	return d
}

// later runs f after a while, unless the day is over by then.
func (r *Rig) later(d time.Duration, f func()) {
	time.AfterFunc(d, func() {
		r.mu.Lock()
		over := r.done
		r.mu.Unlock()
		if !over {
			f()
		}
	})
}

func (r *Rig) close() {
	r.mu.Lock()
	r.done = true
	r.mu.Unlock()
	for _, sl := range r.routers {
		sl.mu.Lock()
		c, g := sl.client, sl.g
		sl.mu.Unlock()
		if c != nil {
			c.Close()
		}
		if g != nil {
			g.Kill()
		}
	}
	r.mu.Lock()
	list := slices.Clone(r.dead)
	for _, m := range r.members {
		list = append(list, m.w)
	}
	r.mu.Unlock()
	for _, w := range list {
		w.Kill()
	}
}

// hire starts a worker.
func (r *Rig) hire(place int, cold bool) (*member, error) {
	f := r.script.Fleet
	kind := f.Kinds[place%len(f.Kinds)]
	cell := place / f.CellSize
	r.mu.Lock()
	r.made++
	id := fmt.Sprintf("w%03d", r.made)
	if r.cells[cell] == nil {
		r.cells[cell] = fakeworker.NewCell()
	}
	c := fakeworker.Config{ID: id, Cores: kind.Cores, Speed: kind.Speed, MemoryMB: kind.MemoryMB, Queue: f.Queue,
		LoadsAtOnce: f.LoadsAtOnce, IdleKeep: f.IdleKeep.D(), LoadsOnMiss: f.OnMiss == "load", GrowsCopies: f.Grows,
		StopsWork: f.StopsWork, ColdShare: r.script.Rules.ColdShare, ColdFor: r.script.Rules.ColdFor.D(),
		FallMultiple: r.script.Rules.FallMultiple, FallSpan: r.script.Rules.FallSpan.D(), Keyed: map[string]bool{},
		Store: r.store, Cell: r.cells[cell], Log: r.log, Seed: r.script.Seed + uint64(r.made), Cold: cold,
		ClassWork: map[string]time.Duration{}, ServerMetrics: f.Reports != "none", Models: r.models}
	r.mu.Unlock()
	for _, k := range r.script.Classes {
		if k.Effect == "keyed" {
			c.Keyed[k.Name], c.KeyedFor = true, k.Window.D()
		}
		c.ClassWork[k.Name] = time.Duration(k.WorkMS * float64(time.Millisecond))
	}
	w, err := fakeworker.Start(c)
	if err != nil {
		return nil, err
	}
	m := &member{w: w, capacity: float64(kind.Cores) * kind.Speed, line: config.Worker{ID: id, Address: w.Addr(),
		Zone: fmt.Sprintf("hall-%c", 'a'+cell%f.Zones), Kind: kind.Name, Cell: cell, State: "on", Weight: 1}}
	if cold {
		at := w.Started()
		m.line.StartedAt = &at
	}
	r.mu.Lock()
	r.members = append(r.members, m)
	r.mu.Unlock()
	return m, nil
}

// settings are one router's.
func (r *Rig) settings(sl *slot) *config.Gateway {
	s, g := r.script, config.Defaults()
	g.Name, g.Listen, g.Seed, g.Routers = sl.name, "127.0.0.1:0", s.Seed+uint64(100*sl.n+sl.lives), s.Routers
	g.Zone = fmt.Sprintf("hall-%c", 'a'+sl.n%s.Fleet.Zones)
	g.Workers.File, g.Workers.CheckInterval = sl.file, 500
	for _, k := range s.Fleet.Kinds {
		g.WorkerKinds = append(g.WorkerKinds, config.WorkerKind{Name: k.Name, MemoryMB: k.MemoryMB})
	}
	ms := func(v Seconds) config.Milliseconds { return config.Milliseconds(v * 1000) }
	for _, c := range s.Classes {
		g.Classes = append(g.Classes, config.Class{Name: c.Name, LatencyObjective: ms(c.Aim), Deadline: ms(c.Deadline), PriorityWeight: c.Worth,
			LateValueFraction: c.LateShare, Idempotency: c.Effect, DeduplicationScope: c.Scope, DeduplicationWindow: ms(c.Window)})
	}
	g.Models = map[string]config.Model{}
	for name, m := range r.models {
		g.Models[name] = config.Model{Class: m.Class, MemoryMB: m.MemoryMB, ConcurrencyPerInstance: m.Lanes,
			LoadTime: config.Milliseconds(m.Load.Milliseconds())}
	}
	g.Loading.OnCacheMiss, g.Loading.CacheStatusReported = s.Fleet.OnMiss, s.Fleet.TellsWarm
	g.Loading.IdleResidency = ms(s.Fleet.IdleKeep)
	g.Loading.RateWindow, g.Loading.RateBurst = ms(s.Rules.LoadSpan), s.Rules.LoadFree
	g.Loading.RateRatio = s.Rules.LoadShare
	g.LoadReports, g.Limits.ResponseMargin = s.Fleet.Reports, 50
	g.Safety.DrainGrace, g.Safety.SlowStartShare, g.Safety.SlowStartDuration = ms(s.Rules.DrainGrace), s.Rules.ColdShare, ms(s.Rules.ColdFor)
	g.Safety.OverloadMultiple, g.Safety.OverloadWindow = s.Rules.FallMultiple, ms(s.Rules.FallSpan)
	if r.party != nil {
		g.Gossip = r.party.settings(sl.n)
	}
	if r.opt.Alter != nil {
		r.opt.Alter(&g)
	}
	return &g
}

// launch starts a router's next life.
func (r *Rig) launch(sl *slot) error {
	sl.lives++
	name := fmt.Sprintf("r%d", sl.n)
	if sl.lives > 1 {
		name = fmt.Sprintf("r%d.%d", sl.n, sl.lives)
	}
	sl.mu.Lock()
	sl.name = name
	for id, on := range sl.told { // a new life is told by the list that it finds
		r.log.Add(invariants.Record{Kind: invariants.Told, Router: name, Worker: id, Off: !on})
	}
	sl.mu.Unlock()
	o := grpcgateway.Options{Logger: r.opt.Log, NewDispatcher: r.opt.Decider,
		DrainTimeout: 2 * time.Second} // nothing is in hand by then, unless a rule is broken
	if r.party != nil {
		o.GossipHooks = r.party.hooks(sl.n)
	}
	g, err := grpcgateway.Start(r.settings(sl), o)
	if err != nil {
		return err
	}
	if r.party != nil {
		r.party.joined(sl.n, g)
	}
	c := fakeclient.New(g.Addr(), name, r.log, http2.Config{})
	sl.mu.Lock()
	sl.g, sl.client = g, c
	sl.mu.Unlock()
	return nil
}

// Addresses are the routers' gRPC addresses.
func (r *Rig) Addresses() (out []string) {
	for _, sl := range r.routers {
		sl.mu.Lock()
		out = append(out, sl.g.Addr())
		sl.mu.Unlock()
	}
	return out
}

// List ------------------------------------------------------------------------------------------------

func (r *Rig) lines() (l config.WorkerList) {
	r.mu.Lock()
	defer r.mu.Unlock()
	l.Workers = []config.Worker{}
	for _, m := range r.members {
		if !m.hidden {
			l.Workers = append(l.Workers, m.line)
		}
	}
	return l
}

// publish sends the list as it is now to every router, each after its own delay.
func (r *Rig) publish() {
	l := r.lines()
	r.mu.Lock()
	r.version++
	version, delay := r.version, r.script.List.Delay.D()+r.late
	r.mu.Unlock()
	for _, sl := range r.routers {
		r.mu.Lock()
		d := time.Duration(float64(delay) * (0.8 + 0.4*r.rng.Float64()))
		r.mu.Unlock()
		r.later(d, func() { r.deliver(sl, version, l) })
	}
}

// deliver writes a router's list and records what it tells.
func (r *Rig) deliver(sl *slot, version int, l config.WorkerList) {
	sl.mu.Lock()
	defer sl.mu.Unlock()
	if version < sl.seen {
		return
	}
	sl.seen = version
	now := map[string]bool{}
	for _, w := range l.Workers {
		now[w.ID] = w.State == "on"
	}
	for id, on := range sl.told {
		if was := on; now[id] != was {
			r.log.Add(invariants.Record{Kind: invariants.Told, Router: sl.name, Worker: id, Off: !now[id]})
		}
		if _, ok := now[id]; !ok {
			now[id] = false
		}
	}
	sl.told = now
	if err := config.WriteWorkers(sl.file, l); err != nil {
		r.opt.Log.Error("list not written", "error", err)
	}
}

// watch notices dead workers, as a list does, and tells of the progress.
func (r *Rig) watch(stop <-chan struct{}, began time.Time) {
	tick := time.NewTicker(250 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-stop:
			return
		case <-tick.C:
		}
		noticed := false
		r.mu.Lock()
		for _, m := range r.members {
			if down := m.w.Down(); down && !m.hidden {
				m.hidden, noticed = true, true
			}
		}
		p := Progress{At: time.Since(began), Length: r.script.Length.D()}
		for k, n := range r.troubles {
			if n > 0 {
				p.Troubles = append(p.Troubles, k)
			}
		}
		over := r.done
		r.mu.Unlock()
		slices.Sort(p.Troubles)
		if noticed && !over {
			r.publish()
		}
		if r.opt.Progress != nil {
			r.tally.progress(&p)
			r.opt.Progress(p)
		}
	}
}

// Traffic ---------------------------------------------------------------------------------------------

// traffic sends calls at the script's rate until the day is over: arrivals don't wait for answers.
func (r *Rig) traffic(began time.Time) {
	s := r.script
	gaps := distuv.Exponential{Rate: 1, Src: rand.NewPCG(s.Seed, 2)}
	picks := rand.New(rand.NewPCG(s.Seed, 3))
	popular := map[string]distuv.Categorical{}
	works := map[string]distuv.LogNormal{}
	shares := make([]float64, 0, len(s.Classes))
	for _, c := range s.Classes {
		w := make([]float64, c.Models)
		for i := range w {
			w[i] = 1 / math.Pow(float64(i+1), s.Traffic.Zipf)
		}
		popular[c.Name] = distuv.NewCategorical(w, rand.NewPCG(s.Seed, 4))
		mean := c.WorkMS / 1000
		works[c.Name] = distuv.LogNormal{Mu: math.Log(mean) - c.WorkSigma*c.WorkSigma/2, Sigma: c.WorkSigma,
			Src: rand.NewPCG(s.Seed, 5)}
		shares = append(shares, c.Share)
	}
	classes := distuv.NewCategorical(shares, rand.NewPCG(s.Seed, 6))
	at := time.Duration(0)
	for n := 0; ; n++ {
		r.mu.Lock()
		rate, toOne, hot := s.Traffic.Rate*r.rate, r.toOne, r.hot
		r.mu.Unlock()
		at += time.Duration(gaps.Rand() / rate * float64(time.Second))
		if at >= s.Length.D() {
			return
		}
		select {
		case <-r.opt.Stop:
			return
		case <-time.After(time.Until(began.Add(at))):
		}
		c := s.Classes[int(classes.Rand())]
		model := fmt.Sprintf("%s-%d", c.Name, int(popular[c.Name].Rand()))
		work := works[c.Name].Rand()
		r.mu.Lock()
		if t, ok := r.tail[c.Name]; ok && picks.Float64() < t.Part {
			work *= t.Size
		}
		r.mu.Unlock()
		if picks.Float64() < hot {
			model = c.Name + "-new"
		}
		to := r.routers[picks.IntN(len(r.routers))]
		if picks.Float64() < toOne {
			to = r.routers[0]
		}
		q := fakeclient.Request{ID: fmt.Sprintf("q%d", n), Model: model, Class: c.Name,
			Work: time.Duration(work * float64(time.Second)), Messages: max(c.Messages, 1), Bytes: c.Bytes,
			Streamed: picks.Float64() < c.Streamed}
		if s.Traffic.Hints {
			q.Hint = time.Duration(work * math.Exp(0.2*picks.NormFloat64()) * float64(time.Second))
		}
		r.try(&c, q, to, began.Add(at), 0)
	}
}

// try sends one try of a request, and another where the client's habits and the class allow it.
func (r *Rig) try(c *Class, q fakeclient.Request, to *slot, asked time.Time, n int) {
	if n == 0 {
		r.tally.ask(c.Name)
	}
	share := r.script.Traffic.TryShare
	if share == 0 {
		share = 1
	}
	deadline := time.Duration(float64(c.Deadline.D()) * share)
	left := c.Deadline.D() - time.Since(asked)
	deadline = min(deadline, left)
	to.mu.Lock()
	cl := to.client
	to.mu.Unlock()
	cl.Call(q, fmt.Sprintf("%s.%d", q.ID, n), deadline, func(res fakeclient.Result) {
		retry := !res.Answered && (c.Effect == "safe") || res.Answered && res.Answer == invariants.Refused ||
			res.Answered && res.Answer == invariants.Failed && res.Pushback >= 0 && c.Effect == "safe"
		wait := max(res.Pushback, r.script.Traffic.Backoff.D()<<n)
		if retry && n < r.script.Traffic.Retries && time.Since(asked)+wait < c.Deadline.D()-10*time.Millisecond {
			other := to
			if !res.Answered { // the front layer sends it to another router
				other = r.routers[(to.n+1)%len(r.routers)]
			}
			time.AfterFunc(wait, func() { r.try(c, q, other, asked, n+1) })
			return
		}
		r.tally.end(c, res, time.Since(asked), n+1)
	})
}
