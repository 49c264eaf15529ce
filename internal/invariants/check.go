package invariants

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Idempotency is what repeating a request does.
type Idempotency string

// The values, as settings files have them.
const (
	Idempotent      Idempotency = "safe"
	IdempotentByKey Idempotency = "keyed"
	NonIdempotent   Idempotency = "unsafe"
)

// Class is what the checker needs to know of a class of requests.
type Class struct {
	Idempotency   Idempotency
	RetryHarmless bool          // a rejection after a run is no lie: the class is idempotent, or all workers drop repeats of a key
	MeanWork      time.Duration // on a core of speed 1
}

// Settings are the limits that the rules set.
type Settings struct {
	Classes           map[string]Class
	ResponseGrace     time.Duration      // a final answer may reach its client this long after the deadline
	LeaveGrace        time.Duration      // an attempt may begin this long after its client left; 0: not checked
	DeadlineSlack     time.Duration      // a worker may be told this much more than the client has left; 0: not checked
	DrainGrace        time.Duration      // attempts may start this long after a worker was reported as draining
	Capacity          map[string]float64 // by worker, once it is warm, in cores of speed 1
	SlowStartShare    float64            // fraction of its capacity that a worker has when it starts
	SlowStartDuration time.Duration      // until a worker has all of its capacity; 0: rule 4 is not checked
	OverloadMultiple  float64            // a worker that warms up fails at this multiple of its present capacity,
	OverloadWindow    time.Duration      // measured over this time; 0: rule 4 is not checked
	OverloadByChance  bool               // N calls may be exceeded by 2 sqrt N + 2, under 30 by 3 sqrt N + 3, instead of one for each router
	LoadRateWindow    time.Duration      // of the load rate limit; 0: no limit, rule 5 is not checked
	LoadRateBurst     float64            // load commands per window that are always allowed
	LoadRateRatio     float64            // further load commands for each call in the window
	RecordingDelay    time.Duration      // at most this lies between sending and recording, on a loaded machine
}

// The rules, by their numbers in reports.
const (
	RuleFinalAnswer = 1 + iota
	RuleSideEffect
	RuleDrain
	RuleSlowStart
	RuleLoadRate
)

// Violation is one breach of a rule.
type Violation struct {
	Rule   int // one of the constants above
	At     time.Duration
	Text   string
	Record Record // the one that shows the breach
}

func (v Violation) String() string {
	return fmt.Sprintf("rule %d at %v: %s", v.Rule, v.At.Round(time.Millisecond), v.Text)
}

// RuleNames are the rules' names by number; there is no rule 0.
var RuleNames = [...]string{
	RuleFinalAnswer: "one final answer in time",
	RuleSideEffect:  "no side effect twice",
	RuleDrain:       "drains respected",
	RuleSlowStart:   "no overload during slow start",
	RuleLoadRate:    "load rate limit respected",
}

// Check returns all violations in the records of a run, ordered by time. It leaves the records as they are.
func Check(s Settings, records []Record) []Violation {
	records = slices.Clone(records)
	slices.SortStableFunc(records, func(a, b Record) int { return cmp.Compare(a.At, b.At) })
	c := &checker{settings: s, records: records}
	c.checkFinalAnswers()
	c.checkSideEffects()
	c.checkDrains()
	c.checkSlowStart()
	c.checkLoadRate()
	slices.SortStableFunc(c.violations, func(a, b Violation) int { return cmp.Compare(a.At, b.At) })
	return c.violations
}

// checker holds the records, ordered by time, and the violations found so far.
type checker struct {
	settings   Settings
	records    []Record
	violations []Violation
}

// report adds a violation that a record shows, at a time that may lie after the record's.
func (c *checker) report(rule int, shownBy Record, at time.Duration, format string, args ...any) {
	c.violations = append(c.violations, Violation{Rule: rule, At: at, Text: fmt.Sprintf(format, args...), Record: shownBy})
}
