package gossip

import (
	"cmp"
	"slices"
	"time"
)

// SuspicionPublisherConfig holds the constants of an [SuspicionPublisher].
type SuspicionPublisherConfig struct {
	RepeatInterval   time.Duration // a suspicion that holds is published again after this
	SufficientWeight float64       // nothing is published about a worker if the claims of others weigh this much already
	MaxSuspicions    int
}

// LocalSuspicionPublisherConfig goes with LocalConfig.
var LocalSuspicionPublisherConfig = SuspicionPublisherConfig{
	RepeatInterval:   3 * time.Second,
	SufficientWeight: 4,
	MaxSuspicions:    1024,
}

// WorkerSuspected reports that this router suspects a worker by its own evidence.
type WorkerSuspected struct {
	Worker string
	Kind   StatementKind // WorkerSilent, WorkerFailing or WorkerSlow
	Class  string        // the class that it fails
}

func (WorkerSuspected) collectorEvent() {}

// SuspicionPublisher decides which of this router's own suspicions of workers are published. It publishes only what this
// router observed; claims of others can at most keep it from publishing, so no claim returns as another's evidence.
type SuspicionPublisher struct {
	cfg            SuspicionPublisherConfig
	weightOfOthers func(worker string) float64
	started        map[string]uint64
	suspicions     map[statementKey]*ownSuspicion // with an empty signer
}

// ownSuspicion is a suspicion of a worker by this router.
type ownSuspicion struct {
	class           string
	nextPublication time.Duration
	seenAt          time.Duration // when it was last reported
	published       bool
}

// NewSuspicionPublisher returns a collector without suspicions. weightOfOthers returns the weight of the claims of other
// routers that a worker is silent.
func NewSuspicionPublisher(cfg SuspicionPublisherConfig, weightOfOthers func(worker string) float64) *SuspicionPublisher {
	return &SuspicionPublisher{
		cfg:            cfg,
		weightOfOthers: weightOfOthers,
		started:        map[string]uint64{},
		suspicions:     map[statementKey]*ownSuspicion{},
	}
}

// Step processes events at a time and returns what is to be published, ordered by worker and kind.
func (c *SuspicionPublisher) Step(now time.Duration, events []PublisherEvent) []Publish {
	var publications []Publish
	for _, e := range events {
		switch e := e.(type) {
		case WorkerList:
			c.updateWorkers(e.Started)
		case WorkerSuspected:
			c.recordSuspicion(now, e)
		case WorkerHeard:
			key := statementKey{subject: e.Worker, kind: WorkerSilent}
			if s := c.suspicions[key]; s != nil {
				delete(c.suspicions, key)
				if s.published {
					publications = append(publications, c.publication(ClaimWithdrawn, e.Worker, ""))
				}
			}
		}
	}
	for key, s := range c.suspicions {
		switch {
		case key.kind != WorkerSilent && now-s.seenAt > c.cfg.RepeatInterval: // not seen again: over, as far as is known
			delete(c.suspicions, key)
		case now >= s.nextPublication && (s.published || c.weightOfOthers(key.subject) < c.cfg.SufficientWeight):
			s.nextPublication, s.published = now+c.cfg.RepeatInterval, true
			publications = append(publications, c.publication(key.kind, key.subject, s.class))
		}
	}
	slices.SortFunc(publications, func(a, b Publish) int {
		return cmp.Or(cmp.Compare(a.Statement.Subject, b.Statement.Subject), cmp.Compare(a.Statement.Kind, b.Statement.Kind))
	})
	return publications
}

// updateWorkers drops the suspicions of workers that are no longer listed or have restarted.
func (c *SuspicionPublisher) updateWorkers(started map[string]uint64) {
	for key := range c.suspicions {
		if incarnation, listed := started[key.subject]; !listed || incarnation != c.started[key.subject] {
			delete(c.suspicions, key)
		}
	}
	c.started = started
}

// recordSuspicion keeps a suspicion of a listed worker, or renews it.
func (c *SuspicionPublisher) recordSuspicion(now time.Duration, e WorkerSuspected) {
	if _, listed := c.started[e.Worker]; !listed || !e.Kind.AboutWorker() || e.Kind == ClaimWithdrawn {
		return
	}
	key := statementKey{subject: e.Worker, kind: e.Kind}
	s := c.suspicions[key]
	if s == nil {
		if len(c.suspicions) >= c.cfg.MaxSuspicions {
			return
		}
		s = &ownSuspicion{nextPublication: now}
		c.suspicions[key] = s
	}
	s.class, s.seenAt = e.Class, now
}

func (c *SuspicionPublisher) publication(kind StatementKind, worker, class string) Publish {
	return Publish{Statement: Statement{Kind: kind, Subject: worker, SubjectIncarnation: c.started[worker], Text: class}}
}

// Due returns when Step may have something to publish without an event; false if never.
func (c *SuspicionPublisher) Due() (at time.Duration, ok bool) {
	for _, s := range c.suspicions {
		if !ok || s.nextPublication < at {
			at, ok = s.nextPublication, true
		}
	}
	return at, ok
}
