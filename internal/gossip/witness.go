package gossip

import (
	"slices"
	"time"
)

// WitnessConfig is the constants of the witness.
type WitnessConfig struct {
	RepeatEvery time.Duration // what still stands is said again after this
	Enough      float64       // nothing is said of a worker of which others' word weighs this much already
	MaxDoubts   int
}

// LocalWitness goes with Local.
var LocalWitness = WitnessConfig{RepeatEvery: 3 * time.Second, Enough: 4, MaxDoubts: 1024}

// Doubted is an event: this router has come to hold something against a worker, by its own evidence.
type Doubted struct {
	Worker string
	About  About  // Silent, Failing or Slow
	Text   string // the class that it fails
}

// Witness decides what of this router's own evidence on workers others are told. It speaks only of what this
// router saw; what others say moves it to silence at the most, so no word comes back as another's evidence.
type Witness struct {
	cfg     WitnessConfig
	others  func(worker string) float64 // weight of others' word on it
	started map[string]uint64
	doubts  map[subjectOf]*ownDoubt
}

type ownDoubt struct {
	text       string
	since      time.Duration
	next, told time.Duration
	said       bool
}

// NewWitness returns a Witness that has seen nothing.
func NewWitness(c WitnessConfig, others func(worker string) float64) *Witness {
	return &Witness{cfg: c, others: others, started: map[string]uint64{}, doubts: map[subjectOf]*ownDoubt{}}
}

// Step takes Doubted, HeardOf and Workers, and returns the Says for the Core.
func (w *Witness) Step(now time.Duration, events []any) (out []any) {
	for _, e := range events {
		switch e := e.(type) {
		case Workers:
			for k := range w.doubts {
				if of, listed := e.Started[k.subject]; !listed || of != w.started[k.subject] {
					delete(w.doubts, k)
				}
			}
			w.started = e.Started
		case Doubted:
			if _, listed := w.started[e.Worker]; !listed || !e.About.OfWorker() || e.About == Back {
				continue
			}
			k := subjectOf{"", e.Worker, e.About}
			if w.doubts[k] == nil && len(w.doubts) < w.cfg.MaxDoubts {
				w.doubts[k] = &ownDoubt{since: now, next: now}
			}
			if d := w.doubts[k]; d != nil {
				d.text, d.told = e.Text, now
			}
		case HeardOf:
			k := subjectOf{"", e.Worker, Silent}
			if d := w.doubts[k]; d != nil {
				delete(w.doubts, k)
				if d.said {
					out = append(out, w.say(Back, e.Worker, ""))
				}
			}
		}
	}
	for k, d := range w.doubts {
		switch {
		case k.group != Silent && now-d.told > w.cfg.RepeatEvery: // not seen again: it is over, for all we know
			delete(w.doubts, k)
		case now >= d.next && (d.said || w.others(k.subject) < w.cfg.Enough):
			d.next, d.said = now+w.cfg.RepeatEvery, true
			out = append(out, w.say(k.group, k.subject, d.text))
		}
	}
	slices.SortFunc(out, func(a, b any) int {
		x, _ := a.(Say)
		y, _ := b.(Say)
		if x.Statement.Subject < y.Statement.Subject {
			return -1
		} else if x.Statement.Subject > y.Statement.Subject {
			return 1
		}
		return int(x.Statement.About) - int(y.Statement.About)
	})
	return out
}

func (w *Witness) say(a About, worker, text string) Say {
	return Say{Statement{About: a, Subject: worker, Of: w.started[worker], Text: text}}
}

// Due is when Step has something to say without an event; false if never.
func (w *Witness) Due() (at time.Duration, ok bool) {
	for _, d := range w.doubts {
		if !ok || d.next < at {
			at, ok = d.next, true
		}
	}
	return at, ok
}
