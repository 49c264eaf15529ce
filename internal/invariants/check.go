package invariants

import (
	"cmp"
	"fmt"
	"slices"
	"sort"
	"time"
)

// Class is what the checker needs to know of a class.
type Class struct {
	Effect string        // "safe", "keyed" or "unsafe"
	All    bool          // of a keyed class: every worker drops repeats, so that a refusal promises the truth
	Work   time.Duration // mean work on a standard core
}

// Site is what the rules' figures are.
type Site struct {
	Classes      map[string]Class
	AnswerGrace  time.Duration // how late a final answer may reach its client
	DrainGrace   time.Duration
	Capacity     map[string]float64 // of warm workers, in standard cores
	ColdShare    float64
	ColdFor      time.Duration
	FallMultiple float64
	FallSpan     time.Duration
	LoadSpan     time.Duration // 0: no ration
	LoadFree     float64
	LoadShare    float64
	Slack        time.Duration // what sockets and a loaded machine may lie between sending and recording
}

// Breach is one broken rule.
type Breach struct {
	Rule int
	At   time.Duration
	Text string
}

func (b Breach) String() string {
	return fmt.Sprintf("rule %d at %v: %s", b.Rule, b.At.Round(time.Millisecond), b.Text)
}

// Names are the rules' names, by number.
var Names = [6]string{"", "one final answer in time", "no effect twice", "drains kept",
	"cold workers not pushed over", "load orders rationed"}

// Check returns every breach in a record of a day, by time.
func Check(s Site, records []Record) []Breach {
	records = slices.Clone(records)
	slices.SortStableFunc(records, func(a, b Record) int { return cmp.Compare(a.At, b.At) })
	c := &checker{site: s, records: records}
	c.answers()
	c.effects()
	c.drains()
	c.cold()
	c.ration()
	slices.SortStableFunc(c.out, func(a, b Breach) int { return cmp.Compare(a.At, b.At) })
	return c.out
}

type checker struct {
	site    Site
	records []Record
	out     []Breach
}

func (c *checker) breach(rule int, at time.Duration, format string, args ...any) {
	c.out = append(c.out, Breach{rule, at, fmt.Sprintf(format, args...)})
}

// answers checks rule 1: what a running router has taken gets exactly one final answer before the client's
// time is over, and nothing more is sent for it afterwards. A try whose client left, or whose router was
// killed, is owed nothing.
func (c *checker) answers() {
	type try struct {
		asked, answered Record
		answers         int
		left            bool
	}
	tries := map[string]*try{}
	down := map[string][]time.Duration{}
	var order []string
	for _, r := range c.records {
		switch r.Kind {
		case Asked:
			tries[r.Call] = &try{asked: r}
			order = append(order, r.Call)
		case RouterDown:
			down[r.Router] = append(down[r.Router], r.At)
		}
	}
	for _, r := range c.records {
		t := tries[r.Call]
		if t == nil {
			continue
		}
		switch r.Kind {
		case Answered:
			if t.answers++; t.answers > 1 {
				c.breach(1, r.At, "call %s got another final answer", r.Call)
				continue
			}
			t.answered = r
			if r.At > t.asked.Deadline+c.site.AnswerGrace {
				c.breach(1, r.At, "call %s answered %v after its deadline", r.Call, r.At-t.asked.Deadline)
			}
		case Left:
			t.left = true
		case Got:
			if t.answers > 0 && r.At > t.answered.At+c.site.Slack {
				c.breach(1, r.At, "call %s sent to %s after its final answer", r.Call, r.Worker)
			}
		}
	}
	for _, id := range order {
		t := tries[id]
		killed := slices.ContainsFunc(down[t.asked.Router], func(at time.Duration) bool { return at >= t.asked.At })
		if t.answers == 0 && !t.left && !killed {
			c.breach(1, t.asked.Deadline, "call %s of class %s got no final answer", id, t.asked.Class)
		}
	}
}

// effects checks rule 2: an unsafe or keyed request runs once at the most, over all its tries, and is never
// refused once it ran.
func (c *checker) effects() {
	type effect struct {
		worker string
		at     time.Duration
	}
	ran := map[string][]effect{} // by request
	runs := map[string]int{}     // by try
	for _, r := range c.records {
		if r.Kind != Ran || c.site.Classes[r.Class].Effect == "safe" {
			continue
		}
		runs[r.Call]++
		for _, e := range ran[r.Request] {
			c.breach(2, r.At, "%s request %s ran at %s and again at %s", r.Class, r.Request, e.worker, r.Worker)
		}
		ran[r.Request] = append(ran[r.Request], effect{r.Worker, r.At})
	}
	for _, r := range c.records {
		if r.Kind == Answered && r.Answer == Refused && runs[r.Call] > 0 && !c.site.Classes[r.Class].All {
			c.breach(2, r.At, "%s call %s ran and was refused", r.Class, r.Call)
		}
	}
}

// drains checks rule 3: nothing new goes to a worker later than the grace after its router was told.
func (c *checker) drains() {
	type pair struct{ router, worker string }
	told, said := map[pair]time.Duration{}, map[pair]time.Duration{}
	note := func(in map[pair]time.Duration, p pair, at time.Duration) {
		if _, ok := in[p]; !ok {
			in[p] = at
		}
	}
	for _, r := range c.records {
		p := pair{r.Router, r.Worker}
		switch r.Kind {
		case Told:
			if r.Off {
				note(told, p, r.At)
				continue
			}
			delete(told, p)
			delete(said, p)
		case Said:
			note(said, p, r.At)
		case Ready:
			delete(said, p) // its own word alone: what the list has told stands
		case Got, Ordered:
			if r.Kind == Ordered && r.Copies == 0 {
				continue // asking does not count
			}
			for _, in := range []map[pair]time.Duration{told, said} {
				if at, ok := in[p]; ok && r.At > at+c.site.DrainGrace+c.site.Slack {
					c.breach(3, r.At, "%s sent to %s %v after it was told that it drains", r.Router, r.Worker, r.At-at)
					break
				}
			}
		}
	}
}

// cold checks rule 4: what reaches a cold worker within any span stays under the multiple of what it can do
// in that time, with one call of each router for chance.
func (c *checker) cold() {
	if c.site.ColdFor == 0 || c.site.FallSpan == 0 {
		return
	}
	type arrival struct {
		at   time.Duration
		work float64
	}
	started := map[string]time.Duration{}
	arrivals := map[string][]arrival{}
	routers := map[string]bool{}
	fell := map[string]bool{}
	largest := 0.0
	for _, cl := range c.site.Classes {
		largest = max(largest, cl.Work.Seconds())
	}
	for _, r := range c.records {
		switch r.Kind {
		case Asked:
			routers[r.Router] = true
		case Started:
			started[r.Worker], arrivals[r.Worker], fell[r.Worker] = r.At, nil, false
		case Fell:
			c.breach(4, r.At, "cold worker %s fell over", r.Worker)
		case Got:
			since, ok := started[r.Worker]
			age := r.At - since
			if !ok || age > c.site.ColdFor || fell[r.Worker] {
				continue
			}
			list := append(arrivals[r.Worker], arrival{r.At, c.site.Classes[r.Class].Work.Seconds()})
			arrivals[r.Worker] = list
			share := c.site.ColdShare + (1-c.site.ColdShare)*float64(age)/float64(c.site.ColdFor)
			limit := c.site.FallMultiple*share*c.site.Capacity[r.Worker]*c.site.FallSpan.Seconds() +
				largest*float64(len(routers))
			sum := 0.0
			for i := len(list) - 1; i >= 0 && list[i].at > r.At-c.site.FallSpan; i-- {
				sum += list[i].work
			}
			if sum > limit {
				fell[r.Worker] = true
				c.breach(4, r.At, "cold worker %s got %.2f s of work within %v, at most %.2f s", r.Worker, sum,
					c.site.FallSpan, limit)
			}
		}
	}
}

// ration checks rule 5: at each order to load, this router's orders of the span number at most the free ones
// and the share of the calls that it took in that time.
func (c *checker) ration() {
	if c.site.LoadSpan == 0 {
		return
	}
	calls, orders := map[string][]time.Duration{}, map[string][]time.Duration{}
	for _, r := range c.records {
		switch {
		case r.Kind == Asked:
			calls[r.Router] = append(calls[r.Router], r.At)
		case r.Kind == Ordered && r.Copies > 0:
			orders[r.Router] = append(orders[r.Router], r.At)
		}
	}
	count := func(times []time.Duration, from, to time.Duration) int {
		i := sort.Search(len(times), func(i int) bool { return times[i] > from })
		j := sort.Search(len(times), func(i int) bool { return times[i] > to })
		return max(j-i, 0)
	}
	for router, list := range orders {
		for _, at := range list {
			// A call reaches its router before the order does a worker: each end is seen a little off.
			n := count(list, at-c.site.LoadSpan+c.site.Slack, at)
			took := count(calls[router], at-c.site.LoadSpan-c.site.Slack, at)
			if limit := c.site.LoadFree + c.site.LoadShare*float64(took); float64(n) > limit {
				c.breach(5, at, "%s ordered %d loads within %v, at most %.1f", router, n, c.site.LoadSpan, limit)
			}
		}
	}
}
