package main

import (
	"fmt"
	"os"
	"sort"
	"strings"
	"sync"
	"time"
)

// record is the log of a run: one line for each message that a stand-in sent or received. It also collects the
// violations that the checks find.
type record struct {
	start time.Time

	mu         sync.Mutex
	lines      []recordLine
	violations []string
}

type recordLine struct {
	at   time.Duration
	text string
}

func newRecord() *record { return &record{start: time.Now()} }

// now returns the time since the start of the run.
func (r *record) now() time.Duration { return time.Since(r.start) }

// add adds a line at the current time and returns that time.
func (r *record) add(format string, args ...any) time.Duration {
	at := r.now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, recordLine{at, fmt.Sprintf(format, args...)})
	return at
}

// violation adds a violation of the rule under test.
func (r *record) violation(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations = append(r.violations, fmt.Sprintf(format, args...))
}

// write writes the violations and all lines, ordered by time, to a file.
func (r *record) write(path, summary string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	sort.SliceStable(r.lines, func(a, b int) bool { return r.lines[a].at < r.lines[b].at })
	var b strings.Builder
	fmt.Fprintf(&b, "%s\n", summary)
	fmt.Fprintf(&b, "violations: %d\n", len(r.violations))
	for _, v := range r.violations {
		fmt.Fprintf(&b, "  %s\n", v)
	}
	fmt.Fprintf(&b, "times are seconds since the start of the stand-ins\n")
	for _, line := range r.lines {
		fmt.Fprintf(&b, "%9.4f %s\n", line.at.Seconds(), line.text)
	}
	return os.WriteFile(path, []byte(b.String()), 0o644)
}
