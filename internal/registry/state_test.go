package registry

import (
	"errors"
	"fmt"
	"maps"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// pushVersion returns a push of content of 10 bytes whose digest starts with the given byte.
func pushVersion(plugin, version string, digestByte byte) PushVersion {
	return PushVersion{VersionRef{plugin, version}, Content{Digest{digestByte}, 10}}
}

// moveAlias returns a move of the alias "current" of a plan.
func moveAlias(plan, plugin, version string) MoveAlias {
	return MoveAlias{AliasRef: AliasRef{plan, "current"}, Target: VersionRef{plugin, version}}
}

// mustCommit prepares and applies a batch.
func mustCommit(t interface {
	Helper()
	Fatal(...any)
}, s *State, batch ...Change) {
	t.Helper()
	revision, err := s.Prepare(batch)
	if err != nil {
		t.Fatal(err)
	}
	if revision == nil {
		return
	}
	if err := s.Apply(*revision); err != nil {
		t.Fatal(err)
	}
}

func TestPrepareRejects(t *testing.T) {
	for name, test := range map[string]struct {
		batch    []Change
		wantErr  error
		wantText string
	}{
		"other content": {
			[]Change{pushVersion("q", "1", 9)}, ErrAlreadyExists, "change 0"},
		"deletion of a version in use": {
			[]Change{DeleteVersion{VersionRef{"q", "1"}}}, ErrInUse, "change 0"},
		"alias of an unknown version": {
			[]Change{pushVersion("q", "3", 1), moveAlias("p", "q", "9")}, ErrNotFound, "change 1"},
		"unexpected target": {
			[]Change{MoveAlias{AliasRef: AliasRef{"p", "current"}, Target: VersionRef{"q", "2"},
				ExpectedTarget: &VersionRef{"q", "2"}}}, ErrConflict, "q:1"},
		"alias of a version deleted in the batch": {
			[]Change{DeleteVersion{VersionRef{"q", "2"}}, moveAlias("p", "q", "2")}, ErrNotFound, "change 1"},
		"deletion of a version put in use in the batch": {
			[]Change{moveAlias("p", "q", "2"), DeleteVersion{VersionRef{"q", "2"}}}, ErrInUse, "change 1"},
		"invalid name": {
			[]Change{PushVersion{VersionRef{"../q", "1"}, Content{}}}, ErrInvalidArgument, "change 0"},
		"nil change": {
			[]Change{nil}, ErrInvalidArgument, "change 0"},
		"deletion of an unknown alias": {
			[]Change{DeleteAlias{AliasRef{"p", "next"}}}, ErrNotFound, "p/next"},
	} {
		t.Run(name, func(t *testing.T) {
			s := NewState(10)
			mustCommit(t, s, pushVersion("q", "1", 1), pushVersion("q", "2", 2), moveAlias("p", "q", "1"))
			_, err := s.Prepare(test.batch)
			if !errors.Is(err, test.wantErr) || !strings.Contains(err.Error(), test.wantText) {
				t.Errorf("%v, want %v with %q", err, test.wantErr, test.wantText)
			}
			target, _ := s.Alias(AliasRef{"p", "current"})
			if s.Revision() != 1 || target != (VersionRef{"q", "1"}) || len(s.Versions()) != 2 {
				t.Error("the state changed")
			}
		})
	}
}

// TestBatchIsOneRevision checks that a batch of several changes makes one revision, and a batch without effect none.
func TestBatchIsOneRevision(t *testing.T) {
	s := NewState(10)
	mustCommit(t, s, pushVersion("q", "1", 1), pushVersion("q", "2", 2), moveAlias("a", "q", "1"), moveAlias("b", "q", "1"))
	mustCommit(t, s, pushVersion("q", "1", 1), moveAlias("a", "q", "1")) // without effect
	mustCommit(t, s, moveAlias("a", "q", "2"), moveAlias("b", "q", "2"), DeleteVersion{VersionRef{"q", "1"}})
	if s.Revision() != 2 || len(s.Versions()) != 1 {
		t.Errorf("revision %d, %v", s.Revision(), s.Versions())
	}
}

func TestRevisionsAfter(t *testing.T) {
	s := NewState(3)
	for i := range 6 {
		mustCommit(t, s, pushVersion("q", fmt.Sprint(i), byte(i)))
	}
	for name, test := range map[string]struct {
		after     uint64
		wantCount int
		wantErr   error
	}{
		"latest":             {6, 0, nil},
		"one before":         {5, 1, nil},
		"oldest kept":        {3, 3, nil},
		"one too old":        {2, 0, ErrCompacted},
		"beginning":          {0, 0, ErrCompacted},
		"not reached so far": {7, 0, ErrFutureRevision},
	} {
		t.Run(name, func(t *testing.T) {
			got, err := s.RevisionsAfter(test.after)
			if !errors.Is(err, test.wantErr) || len(got) != test.wantCount {
				t.Fatalf("after %d: %v, %v", test.after, got, err)
			}
			if test.wantCount > 0 && got[0].Number != test.after+1 {
				t.Errorf("after %d: first is %d", test.after, got[0].Number)
			}
		})
	}
}

// TestFollowersAgree checks the property that a follower has the leader's versions and aliases after it has applied the
// revisions in order, starting from any kept revision or from a listing. A revision that is applied twice is rejected,
// and every alias points at an existing version.
func TestFollowersAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		leader, follower := NewState(8), NewState(8)
		for range rapid.IntRange(1, 40).Draw(t, "batches") {
			revision, err := leader.Prepare(drawBatch(t))
			if err != nil || revision == nil {
				continue
			}
			if err := leader.Apply(*revision); err != nil {
				t.Fatal(err)
			}
			if err := leader.Apply(*revision); !errors.Is(err, ErrConflict) {
				t.Fatalf("applied twice: %v", err)
			}
			checkAliasTargets(t, leader)
			if rapid.IntRange(0, 5).Draw(t, "follow") > 0 {
				continue
			}
			follower = catchUp(t, leader, follower)
			checkSameState(t, leader, follower)
		}
	})
}

// drawBatch draws one to four changes of a few names.
func drawBatch(t *rapid.T) []Change {
	var batch []Change
	for range rapid.IntRange(1, 4).Draw(t, "changes") {
		plugin := fmt.Sprint("q", rapid.IntRange(0, 1).Draw(t, "plug-in"))
		version := fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "version"))
		plan := fmt.Sprint("p", rapid.IntRange(0, 2).Draw(t, "plan"))
		batch = append(batch, rapid.SampledFrom([]Change{
			pushVersion(plugin, version, version[0]),
			moveAlias(plan, plugin, version),
			moveAlias(plan, plugin, version), // twice, so that it is drawn more often
			DeleteVersion{VersionRef{plugin, version}},
			DeleteAlias{AliasRef{plan, "current"}},
		}).Draw(t, "change"))
	}
	return batch
}

func checkAliasTargets(t *rapid.T, s *State) {
	t.Helper()
	for _, alias := range s.Aliases() {
		if target, _ := s.Alias(alias); s.versions[target] == (Content{}) {
			t.Fatalf("%s points at %s, which does not exist", alias, target)
		}
	}
}

// catchUp applies the revisions that a follower lacks and returns the follower. If they are compacted, it returns a
// copy of the leader instead.
func catchUp(t *rapid.T, leader, follower *State) *State {
	t.Helper()
	revisions, err := leader.RevisionsAfter(follower.Revision())
	if errors.Is(err, ErrCompacted) {
		if follower, err = RestoreState(leader.revision, leader.versions, leader.aliases, 8); err != nil {
			t.Fatal(err)
		}
	}
	for _, revision := range revisions {
		if err := follower.Apply(revision); err != nil {
			t.Fatal(err)
		}
	}
	return follower
}

func checkSameState(t *rapid.T, leader, follower *State) {
	t.Helper()
	if !maps.Equal(follower.versions, leader.versions) || !maps.Equal(follower.aliases, leader.aliases) ||
		!maps.Equal(follower.aliasCounts, leader.aliasCounts) || follower.revision != leader.revision {
		t.Fatalf("the follower differs from the leader at revision %d", leader.revision)
	}
}

// TestRestoreEmptyState checks that revisions can be applied to a state restored from an empty listing, whose maps are
// nil.
func TestRestoreEmptyState(t *testing.T) {
	s, err := RestoreState(7, nil, nil, 1)
	if err != nil {
		t.Fatal(err)
	}
	mustCommit(t, s, pushVersion("q", "1", 1), moveAlias("p", "q", "1"))
	if s.Revision() != 8 {
		t.Errorf("revision %d", s.Revision())
	}
}
