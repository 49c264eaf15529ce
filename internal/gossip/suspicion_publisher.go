package gossip

import (
	"cmp"
	"slices"
	"time"
)

// SuspicionPublisherConfig holds the parameters of a [SuspicionPublisher].
type SuspicionPublisherConfig struct {
	RepeatInterval   time.Duration // a suspicion that persists is published again after this interval
	SufficientWeight float64       // no new suspicion is published if the claims of others have this weight
	MaxSuspicions    int           // suspicions stored
}

// LocalSuspicionPublisherConfig is the configuration for use with [LocalConfig].
var LocalSuspicionPublisherConfig = SuspicionPublisherConfig{
	RepeatInterval:   3 * time.Second,
	SufficientWeight: 4,
	MaxSuspicions:    1024,
}

// WorkerSuspected reports that this router suspects a worker because of its own observations.
type WorkerSuspected struct {
	Worker string
	Kind   StatementKind // WorkerSilent, WorkerFailing or WorkerSlow
	Class  string        // of WorkerFailing: the class whose requests fail
}

func (WorkerSuspected) publisherEvent() {}

// SuspicionPublisher decides which of this router's own suspicions of workers are published. It publishes only what
// this router observed itself. Claims of others can suppress a publication but never cause one, so no claim comes back
// as evidence of another signer.
type SuspicionPublisher struct {
	cfg            SuspicionPublisherConfig
	weightOfOthers func(worker string) float64
	started        map[string]uint64              // start times of the listed workers
	suspicions     map[statementKey]*ownSuspicion // the signer in the keys is empty
}

// ownSuspicion is this router's suspicion of one worker.
type ownSuspicion struct {
	class           string
	nextPublication time.Duration
	seenAt          time.Duration // time of the latest WorkerSuspected
	published       bool
}

// NewSuspicionPublisher returns a publisher without suspicions. weightOfOthers returns the total weight of the other
// routers' claims that a worker is silent.
func NewSuspicionPublisher(
	cfg SuspicionPublisherConfig, weightOfOthers func(worker string) float64,
) *SuspicionPublisher {
	return &SuspicionPublisher{
		cfg:            cfg,
		weightOfOthers: weightOfOthers,
		started:        map[string]uint64{},
		suspicions:     map[statementKey]*ownSuspicion{},
	}
}

// Step processes events and returns the statements to publish at now, ordered by worker and kind.
func (c *SuspicionPublisher) Step(now time.Duration, events []PublisherEvent) []Publish {
	var publications []Publish
	for _, e := range events {
		switch e := e.(type) {
		case WorkerList:
			c.updateWorkers(e.Started)
		case WorkerSuspected:
			c.recordSuspicion(now, e)
		case WorkerResponded:
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
		case key.kind != WorkerSilent && now-s.seenAt > c.cfg.RepeatInterval: // not reported again: assumed over
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

// updateWorkers removes the suspicions of workers that are no longer listed or have restarted.
func (c *SuspicionPublisher) updateWorkers(started map[string]uint64) {
	for key := range c.suspicions {
		if incarnation, listed := started[key.subject]; !listed || incarnation != c.started[key.subject] {
			delete(c.suspicions, key)
		}
	}
	c.started = started
}

// recordSuspicion adds or renews a suspicion of a listed worker.
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

// Due returns when Step may have something to publish even if no event arrives; ok is false if there is no such time.
func (c *SuspicionPublisher) Due() (at time.Duration, ok bool) {
	for _, s := range c.suspicions {
		if !ok || s.nextPublication < at {
			at, ok = s.nextPublication, true
		}
	}
	return at, ok
}
