package scenario

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/topazfront/topazfront/internal/fake/fakeclient"
	"github.com/topazfront/topazfront/internal/invariants"
)

func modelName(class string, i int) string { return fmt.Sprintf("%s-%d", class, i) }

// tally counts what clients got.
type tally struct {
	mu      sync.Mutex
	classes map[string]*count
	order   []string
	open    int
	idle    chan struct{} // told when nothing is open
}

type count struct {
	asked, inAim, late, refused, failed, left, tries, messages int
	hist                                                       *hdrhistogram.Histogram // microseconds
}

func newTally(s *Script) *tally {
	t := &tally{classes: map[string]*count{}, idle: make(chan struct{}, 1)}
	for _, c := range s.Classes {
		t.classes[c.Name] = &count{hist: hdrhistogram.New(1, 60_000_000, 3)}
		t.order = append(t.order, c.Name)
	}
	return t
}

func (t *tally) ask(class string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.classes[class].asked++
	t.open++
}

func (t *tally) end(c *Class, r fakeclient.Result, took time.Duration, tries int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	k := t.classes[c.Name]
	k.tries += tries
	k.messages += r.Messages
	switch {
	case !r.Answered:
		k.left++
	case r.Answer == invariants.Served && took <= c.Aim.D():
		k.inAim++
	case r.Answer == invariants.Served:
		k.late++
	case r.Answer == invariants.Refused:
		k.refused++
	default:
		k.failed++
	}
	if r.Answered && r.Answer == invariants.Served {
		_ = k.hist.RecordValue(took.Microseconds())
	}
	if t.open--; t.open == 0 {
		select {
		case t.idle <- struct{}{}:
		default:
		}
	}
}

// wait returns when nothing is open, or after a while.
func (t *tally) wait(most time.Duration) {
	end := time.After(most)
	for {
		t.mu.Lock()
		open := t.open
		t.mu.Unlock()
		if open == 0 {
			return
		}
		select {
		case <-t.idle:
		case <-end:
			return
		}
	}
}

func (t *tally) progress(p *Progress) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range t.classes {
		p.Asked += c.asked
		p.Served += c.inAim + c.late
		p.Refused += c.refused
		p.Failed += c.failed + c.left
	}
	p.Open = t.open
}

// ClassReport is one class's figures. Times are seconds, over the served ones, from the moment each was due.
type ClassReport struct {
	Class    string  `json:"class"`
	Effect   string  `json:"effect"`
	Asked    int     `json:"asked"`
	InAim    int     `json:"served_in_aim"`
	Late     int     `json:"served_late"`
	Refused  int     `json:"refused"`
	Failed   int     `json:"failed"`
	Lost     int     `json:"lost_with_a_router"`
	Tries    int     `json:"tries"`
	Messages int     `json:"messages"`
	P50      float64 `json:"p50_s"`
	P99      float64 `json:"p99_s"`
}

// Report is what a day came to.
type Report struct {
	Day      string        `json:"day"`
	Seed     uint64        `json:"seed"`
	Length   float64       `json:"length_s"`
	Routers  int           `json:"routers"`
	Workers  int           `json:"workers"`
	Service  float64       `json:"service"` // worth answered over worth asked for
	Classes  []ClassReport `json:"classes"`
	Attempts int           `json:"attempts"`
	Orders   int           `json:"load_orders"`
	Fetches  int           `json:"store_fetches"`
	Turned   int           `json:"store_refusals"`
	Troubles []string      `json:"troubles"`
	Records  int           `json:"records"`
	Breaches []string      `json:"breaches"`
	Rules    [5]int        `json:"breaches_by_rule"`
	Silence  *Silence      `json:"silence,omitempty"`
	Gossip   *GossipReport `json:"gossip,omitempty"`
}

func (r *Rig) site() invariants.Site {
	s := r.script
	site := invariants.Site{Classes: map[string]invariants.Class{}, AnswerGrace: 250 * time.Millisecond,
		DrainGrace: s.Rules.DrainGrace.D(), Capacity: map[string]float64{}, ColdShare: s.Rules.ColdShare,
		ColdFor: s.Rules.ColdFor.D(), FallMultiple: s.Rules.FallMultiple, FallSpan: s.Rules.FallSpan.D(),
		LoadSpan: s.Rules.LoadSpan.D(), LoadFree: s.Rules.LoadFree, LoadShare: s.Rules.LoadShare,
		Slack: 250 * time.Millisecond}
	for _, c := range s.Classes {
		site.Classes[c.Name] = invariants.Class{Effect: c.Effect, All: c.Effect == "safe" || c.Scope == "all",
			Work: time.Duration(c.WorkMS * float64(time.Millisecond))}
	}
	for _, m := range r.members {
		site.Capacity[m.w.ID()] = m.capacity
	}
	return site
}

func (r *Rig) report() *Report {
	s := r.script
	records := r.log.Records()
	out := &Report{Day: s.Name, Seed: s.Seed, Length: float64(s.Length), Routers: s.Routers, Workers: s.Fleet.Workers,
		Records: len(records), Breaches: []string{}, Troubles: []string{}}
	worth, asked := 0.0, 0.0
	r.tally.mu.Lock()
	for _, c := range s.Classes {
		k := r.tally.classes[c.Name]
		out.Classes = append(out.Classes, ClassReport{Class: c.Name, Effect: c.Effect, Asked: k.asked, InAim: k.inAim,
			Late: k.late, Refused: k.refused, Failed: k.failed, Lost: k.left, Tries: k.tries, Messages: k.messages,
			P50: float64(k.hist.ValueAtQuantile(50)) / 1e6, P99: float64(k.hist.ValueAtQuantile(99)) / 1e6})
		worth += c.Worth * (float64(k.inAim) + c.LateShare*float64(k.late))
		asked += c.Worth * float64(k.asked)
	}
	r.tally.mu.Unlock()
	if asked > 0 {
		out.Service = worth / asked
	}
	for _, x := range records {
		switch {
		case x.Kind == invariants.Got:
			out.Attempts++
		case x.Kind == invariants.Ordered && x.Copies > 0:
			out.Orders++
		}
	}
	if len(r.silences) > 0 {
		out.Silence = silence(r.silences, records)
	}
	out.Fetches, out.Turned = r.store.Fetches()
	for _, t := range s.Trouble {
		out.Troubles = append(out.Troubles, t.Kind)
	}
	for _, b := range invariants.Check(r.site(), records) {
		out.Rules[b.Rule-1]++
		if len(out.Breaches) < 100 {
			out.Breaches = append(out.Breaches, b.String())
		}
	}
	return out
}

// Kept tells whether every rule was kept.
func (r *Report) Kept() bool { return r.Rules == [5]int{} }

// Print writes the tables that a person reads.
func (r *Report) Print(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(t, "class\teffect\tasked\tin aim\tlate\trefused\tfailed\tlost\ttries\tmessages\tp50 ms\tp99 ms\t\n")
	for _, c := range r.Classes {
		fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.0f\t%.0f\t\n", c.Class, c.Effect, c.Asked, c.InAim, c.Late,
			c.Refused, c.Failed, c.Lost, c.Tries, c.Messages, c.P50*1000, c.P99*1000)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	fmt.Fprintf(w, "service %.3f (worth answered in time over worth asked for); %d attempts, %d load orders, "+
		"%d fetches from the store, %d turned away\n\n", r.Service, r.Attempts, r.Orders, r.Fetches, r.Turned)
	if s := r.Silence; s != nil {
		fmt.Fprintf(w, "silent workers: %d; %d attempts went there, half within %.2f s, 95 of 100 within %.2f s; a router's "+
			"last after %.2f s\n", s.Workers, s.Attempts, s.P50, s.P95, s.Stop)
	}
	if g := r.Gossip; g != nil {
		fmt.Fprintf(w, "gossip: %.0f bytes/s a router, %.0f at most, cap %.0f, exceeded %d times; forged %d, dropped %d; "+
			"%d claims, %d looks, %d found a silent worker, %d a healthy one\n", g.Mean, g.Most, g.Cap, g.Over, g.Forged,
			g.Dropped.TotalPackets(), g.Claims, g.Looks, g.Silent, g.WellFound)
	}
	if r.Silence != nil || r.Gossip != nil {
		fmt.Fprintln(w)
	}
	for i, n := range r.Rules {
		verdict := "kept"
		if n > 0 {
			verdict = fmt.Sprintf("BROKEN %d times", n)
		}
		fmt.Fprintf(w, "rule %d  %-30s %s\n", i+1, invariants.Names[i+1], verdict)
	}
	for i, b := range r.Breaches {
		if i == 10 {
			fmt.Fprintf(w, "  and %d more\n", len(r.Breaches)-10)
			break
		}
		fmt.Fprintln(w, "  "+b)
	}
	return nil
}

// Save writes the report as JSON.
func (r *Report) Save(path string) error {
	raw, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(raw, '\n'), 0o644)
}

// Line is the live line of a day under way.
func (p Progress) Line() string {
	const width = 24
	full := min(int(float64(width)*float64(p.At)/float64(max(p.Length, 1))), width)
	return fmt.Sprintf("[%s%s] %5.1fs  asked %d  served %d  refused %d  failed %d  open %d  %s",
		strings.Repeat("=", full), strings.Repeat(" ", width-full), p.At.Seconds(), p.Asked, p.Served, p.Refused, p.Failed,
		p.Open, strings.Join(slices.Compact(p.Troubles), "+"))
}
