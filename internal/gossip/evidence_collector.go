package gossip

import (
	"slices"
	"time"
)

// WitnessConfig is the constants of the witness.
type EvidenceCollectorConfig struct {
	RepeatInterval   time.Duration // what still stands is said again after this
	SufficientWeight float64       // nothing is said of a worker of which others' word weighs this much already
	MaxSuspicions    int
}

// LocalWitness goes with Local.
var LocalEvidenceCollectorConfig = EvidenceCollectorConfig{RepeatInterval: 3 * time.Second, SufficientWeight: 4, MaxSuspicions: 1024}

// Doubted is an event: this router has come to hold something against a worker, by its own evidence.
type WorkerSuspected struct {
	Worker string
	Kind   StatementKind // Silent, Failing or Slow
	Class  string        // the class that it fails
}

// Witness decides what of this router's own evidence on workers others are told. It speaks only of what this
// router saw; what others say moves it to silence at the most, so no word comes back as another's evidence.
type EvidenceCollector struct {
	cfg            EvidenceCollectorConfig
	weightOfOthers func(worker string) float64 // weight of others' word on it
	started        map[string]uint64
	suspicions     map[statementKey]*ownSuspicion
}

type ownSuspicion struct {
	class                   string
	since                   time.Duration
	nextPublication, seenAt time.Duration
	published               bool
}

// NewWitness returns a Witness that has seen nothing.
func NewEvidenceCollector(c EvidenceCollectorConfig, others func(worker string) float64) *EvidenceCollector {
	return &EvidenceCollector{cfg: c, weightOfOthers: others, started: map[string]uint64{}, suspicions: map[statementKey]*ownSuspicion{}}
}

// Step takes Doubted, HeardOf and Workers, and returns the Says for the Core.
func (w *EvidenceCollector) Step(now time.Duration, events []any) (out []any) {
	for _, e := range events {
		switch e := e.(type) {
		case WorkerList:
			for k := range w.suspicions {
				if of, listed := e.Started[k.subject]; !listed || of != w.started[k.subject] {
					delete(w.suspicions, k)
				}
			}
			w.started = e.Started
		case WorkerSuspected:
			if _, listed := w.started[e.Worker]; !listed || !e.Kind.AboutWorker() || e.Kind == ClaimWithdrawn {
				continue
			}
			k := statementKey{"", e.Worker, e.Kind}
			if w.suspicions[k] == nil && len(w.suspicions) < w.cfg.MaxSuspicions {
				w.suspicions[k] = &ownSuspicion{since: now, nextPublication: now}
			}
			if d := w.suspicions[k]; d != nil {
				d.class, d.seenAt = e.Class, now
			}
		case WorkerHeard:
			k := statementKey{"", e.Worker, WorkerSilent}
			if d := w.suspicions[k]; d != nil {
				delete(w.suspicions, k)
				if d.published {
					out = append(out, w.publishEvent(ClaimWithdrawn, e.Worker, ""))
				}
			}
		}
	}
	for k, d := range w.suspicions {
		switch {
		case k.kind != WorkerSilent && now-d.seenAt > w.cfg.RepeatInterval: // not seen again: it is over, for all we know
			delete(w.suspicions, k)
		case now >= d.nextPublication && (d.published || w.weightOfOthers(k.subject) < w.cfg.SufficientWeight):
			d.nextPublication, d.published = now+w.cfg.RepeatInterval, true
			out = append(out, w.publishEvent(k.kind, k.subject, d.class))
		}
	}
	slices.SortFunc(out, func(a, b any) int {
		x, _ := a.(Publish)
		y, _ := b.(Publish)
		if x.Statement.Subject < y.Statement.Subject {
			return -1
		} else if x.Statement.Subject > y.Statement.Subject {
			return 1
		}
		return int(x.Statement.Kind) - int(y.Statement.Kind)
	})
	return out
}

func (w *EvidenceCollector) publishEvent(a StatementKind, worker, text string) Publish {
	return Publish{Statement{Kind: a, Subject: worker, SubjectIncarnation: w.started[worker], Text: text}}
}

// Due is when Step has something to say without an event; false if never.
func (w *EvidenceCollector) Due() (at time.Duration, ok bool) {
	for _, d := range w.suspicions {
		if !ok || d.nextPublication < at {
			at, ok = d.nextPublication, true
		}
	}
	return at, ok
}
