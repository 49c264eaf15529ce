package invariants

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Idempotency says whether a request may safely be executed more than once.
type Idempotency string

// The values of Idempotency, spelled as in settings files.
const (
	Idempotent      Idempotency = "safe"
	IdempotentByKey Idempotency = "keyed"
	NonIdempotent   Idempotency = "unsafe"
)

// Class holds the properties of a request class that the rules depend on.
type Class struct {
	Idempotency Idempotency
	// RetryHarmless means that a call may be rejected after it ran, because the client's retry has no further effect:
	// the class is idempotent, or all workers drop requests with a repeated key.
	RetryHarmless bool
	MeanWork      time.Duration // on a core of speed 1
}

// Settings are the limits that the rules are checked against.
type Settings struct {
	Classes           map[string]Class
	ResponseGrace     time.Duration      // a final answer may reach its client this long after the deadline
	LeaveGrace        time.Duration      // an attempt may start this long after its client left; 0 disables the check
	DeadlineSlack     time.Duration      // an attempt's remaining deadline may exceed the client's by this; 0 disables the check
	DrainGrace        time.Duration      // attempts may start this long after a worker was reported as draining
	Capacity          map[string]float64 // by worker, when fully warm, in cores of speed 1
	SlowStartShare    float64            // fraction of its capacity that a worker has when it starts
	SlowStartDuration time.Duration      // time until a worker reaches its full capacity; 0 disables rule 4
	OverloadMultiple  float64            // a worker that is warming up fails at this multiple of its current capacity,
	OverloadWindow    time.Duration      // measured over this window; 0 disables rule 4
	// RandomArrivals replaces rule 4's allowance of one call per router by one for random arrivals: a limit of N calls
	// may be exceeded by 2 sqrt(N) + 2 calls, or by 3 sqrt(N) + 3 if N is below 30.
	RandomArrivals bool
	LoadRateWindow time.Duration // window of the load rate limit; 0 means no limit and disables rule 5
	LoadRateBurst  float64       // load commands per window that are always allowed
	LoadRateRatio  float64       // additional load commands allowed for each call in the window
	RecordingDelay time.Duration // longest time between sending and recording, on a loaded machine
}

// The rules, by their numbers in reports.
const (
	RuleFinalAnswer = 1 + iota
	RuleSideEffect
	RuleDrain
	RuleSlowStart
	RuleLoadRate
)

// Violation is one violation of a rule.
type Violation struct {
	Rule   int           // RuleFinalAnswer to RuleLoadRate
	At     time.Duration // since the start of the log
	Text   string
	Record Record // shows the violation
}

func (v Violation) String() string {
	return fmt.Sprintf("rule %d at %v: %s", v.Rule, v.At.Round(time.Millisecond), v.Text)
}

// RuleNames holds the names of the rules by number. There is no rule 0.
var RuleNames = [...]string{
	RuleFinalAnswer: "one final answer in time",
	RuleSideEffect:  "no side effect twice",
	RuleDrain:       "drains respected",
	RuleSlowStart:   "no overload during slow start",
	RuleLoadRate:    "load rate limit respected",
}

// Check returns all violations in the records of a run, ordered by time. It does not modify the records.
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

// report adds a violation shown by a record. The time of the violation may be later than that of the record.
func (c *checker) report(rule int, shownBy Record, at time.Duration, format string, args ...any) {
	c.violations = append(c.violations, Violation{Rule: rule, At: at, Text: fmt.Sprintf(format, args...), Record: shownBy})
}
