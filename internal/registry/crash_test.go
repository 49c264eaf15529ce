package registry

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
)

var errCrash = errors.New("simulated crash")

// crashTest pushes versions and moves aliases in a store that fails at random steps.
type crashTest struct {
	t            *testing.T
	rng          *rand.Rand
	dir          string
	acknowledged uint64                  // the latest revision that a Commit or a reopened store returned
	aliases      map[AliasRef]VersionRef // as of that revision
	pending      map[AliasRef]VersionRef // aliases after the batch in progress; nil if there is none
	crashesAt    map[Step]int            // number of crashes by step
}

// TestCrashAtAnyStep simulates crashes at random steps, reopens the store after each and compares its state with what
// was acknowledged: every acknowledged change is present, the batch in progress is present as a whole or not at all,
// and all content is correct.
func TestCrashAtAnyStep(t *testing.T) {
	crashes := 500
	if testing.Short() {
		crashes = 10
	}
	c := crashTest{
		t:         t,
		rng:       rand.New(rand.NewPCG(1, 15)),
		dir:       t.TempDir(),
		aliases:   map[AliasRef]VersionRef{},
		crashesAt: map[Step]int{},
	}
	for crash := range crashes {
		c.runUntilCrash(crash)
		c.checkRecovery(crash)
	}
	t.Logf("%d crashes: %v", crashes, c.crashesAt)
	for _, step := range []Step{StepCreateTempFile, StepWriteBlob, StepSyncBlob, StepRenameBlob, StepSyncDirectories,
		StepBeginTransaction, StepWriteChange, StepCommitTransaction, StepAcknowledge} {
		if c.crashesAt[step] == 0 && crashes >= 60 {
			t.Errorf("no crash at %q", step)
		}
	}
}

// runUntilCrash opens the store, checks it and commits batches until a crash at a randomly drawn step.
func (c *crashTest) runUntilCrash(crash int) {
	c.t.Helper()
	stepsLeft := c.rng.IntN(24)
	s := mustOpenStore(c.t, c.dir, Options{MaxRevisions: 5, Failpoint: func(step Step) error {
		if stepsLeft--; stepsLeft < 0 {
			c.crashesAt[step]++
			return errCrash
		}
		return nil
	}})
	s.View(func(state *State) {
		if revision := state.Revision(); revision < c.acknowledged || revision > c.acknowledged+1 {
			c.t.Fatalf("crash %d: revision %d, acknowledged %d", crash, revision, c.acknowledged)
		}
		c.setAcknowledged(state)
	})
	if failures := s.Verify(nil); len(failures) > 0 {
		c.t.Fatalf("crash %d: %v", crash, failures)
	}
	c.pending = nil
	for i := 0; c.pushAndMove(s, fmt.Sprintf("%d-%d", crash, i)); i++ {
	}
	if err := s.Close(); err != nil {
		c.t.Fatal(err)
	}
}

// pushAndMove commits one batch, which pushes a version and moves two aliases to it. It returns false after a crash.
func (c *crashTest) pushAndMove(s *Store, version string) bool {
	c.t.Helper()
	content, err := s.PutContent(strings.NewReader("content " + version))
	if err != nil {
		return false
	}
	ref := VersionRef{"q", version}
	c.pending = map[AliasRef]VersionRef{{"a", "current"}: ref, {"b", "current"}: ref}
	revision, err := s.Commit([]Change{PushVersion{ref, content}, moveAlias("a", "q", version), moveAlias("b", "q", version)})
	if err != nil {
		return false
	}
	if revision != c.acknowledged+1 {
		c.t.Fatalf("revision %d after %d", revision, c.acknowledged)
	}
	c.acknowledged, c.aliases, c.pending = revision, c.pending, nil
	return true
}

// checkRecovery reopens the store after a crash. Its state must be the acknowledged one, or the one after the batch in
// progress.
func (c *crashTest) checkRecovery(crash int) {
	c.t.Helper()
	s := mustOpenStore(c.t, c.dir, Options{MaxRevisions: 5})
	s.View(func(state *State) {
		revision := state.Revision()
		for alias, want := range c.aliases {
			got, _ := state.Alias(alias)
			if revision == c.acknowledged && got != want ||
				revision == c.acknowledged+1 && got != c.pending[alias] ||
				revision > c.acknowledged+1 {
				c.t.Fatalf("crash %d: at revision %d (acknowledged %d) %s points at %s",
					crash, revision, c.acknowledged, alias, got)
			}
		}
		c.setAcknowledged(state)
	})
	_ = s.Close()
}

// setAcknowledged records a state as acknowledged, because a state read from disk is durable.
func (c *crashTest) setAcknowledged(state *State) {
	c.acknowledged = state.Revision()
	for _, alias := range state.Aliases() {
		c.aliases[alias], _ = state.Alias(alias)
	}
}
