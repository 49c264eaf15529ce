package registry

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
)

// State holds all versions and aliases as of a revision, and the latest revisions for those who watch. It has no
// lock: its owner serializes the calls.
type State struct {
	revision    uint64
	versions    map[VersionRef]Content
	aliases     map[AliasRef]VersionRef
	aliasCounts map[VersionRef]int // number of aliases that point at a version, without zeros
	recent      []Revision         // the latest revisions, oldest first
	maxRecent   int                // of revisions in recent
}

// NewState returns an empty state at revision 0 that keeps the latest maxRecent revisions, but at least one.
func NewState(maxRecent int) *State {
	return &State{
		versions:    map[VersionRef]Content{},
		aliases:     map[AliasRef]VersionRef{},
		aliasCounts: map[VersionRef]int{},
		maxRecent:   max(maxRecent, 1),
	}
}

// RestoreState returns a state as of a revision, without the revisions before it. The maps are copied. An alias
// that points at an unknown version is rejected with ErrNotFound.
func RestoreState(revision uint64, versions map[VersionRef]Content, aliases map[AliasRef]VersionRef,
	maxRecent int) (*State, error) {
	s := NewState(maxRecent)
	s.revision = revision
	maps.Copy(s.versions, versions)
	maps.Copy(s.aliases, aliases)
	for alias, target := range s.aliases {
		if _, ok := s.versions[target]; !ok {
			return nil, fmt.Errorf("%w: %s points at %s", ErrNotFound, alias, target)
		}
		s.aliasCounts[target]++
	}
	return s, nil
}

// Revision returns the number of the latest revision.
func (s *State) Revision() uint64 { return s.revision }

// Version looks up what a version consists of.
func (s *State) Version(ref VersionRef) (Content, bool) {
	content, ok := s.versions[ref]
	return content, ok
}

// Alias looks up the version that an alias points at.
func (s *State) Alias(ref AliasRef) (VersionRef, bool) {
	target, ok := s.aliases[ref]
	return target, ok
}

// Versions lists all versions, sorted by name.
func (s *State) Versions() []VersionRef {
	return slices.SortedFunc(maps.Keys(s.versions), func(a, b VersionRef) int {
		return cmp.Or(cmp.Compare(a.Plugin, b.Plugin), cmp.Compare(a.Version, b.Version))
	})
}

// Aliases lists all aliases, sorted by name.
func (s *State) Aliases() []AliasRef {
	return slices.SortedFunc(maps.Keys(s.aliases), func(a, b AliasRef) int {
		return cmp.Or(cmp.Compare(a.Plan, b.Plan), cmp.Compare(a.Alias, b.Alias))
	})
}

// Prepare checks a batch against the state and returns the revision that it would make, without the changes that
// have no effect, or nil if no change is left. The state stays as it is. An error names the rejected change by its
// index in the batch.
func (s *State) Prepare(batch []Change) (*Revision, error) {
	o := newOverlay(s)
	revision := &Revision{Number: s.revision + 1}
	for i, change := range batch {
		effective, err := o.apply(change)
		if err != nil {
			return nil, fmt.Errorf("change %d: %w", i, err)
		}
		if effective {
			revision.Changes = append(revision.Changes, change)
		}
	}
	if len(revision.Changes) == 0 {
		return nil, nil
	}
	return revision, nil
}

// Apply applies a revision that Prepare returned or that came over a watch. One whose number does not follow the
// latest is rejected with ErrConflict. After an error the state is as before.
func (s *State) Apply(revision Revision) error {
	if revision.Number != s.revision+1 {
		return fmt.Errorf("%w: revision %d after %d", ErrConflict, revision.Number, s.revision)
	}
	o := newOverlay(s)
	for i, change := range revision.Changes {
		if _, err := o.apply(change); err != nil {
			return fmt.Errorf("revision %d, change %d: %w", revision.Number, i, err)
		}
	}
	o.commit()
	s.revision = revision.Number
	s.recent = append(s.recent, revision)
	if excess := len(s.recent) - s.maxRecent; excess > 0 {
		s.recent = append([]Revision(nil), s.recent[excess:]...)
	}
	return nil
}

// RevisionsAfter returns the revisions after the one with the given number. ErrCompacted tells a watcher to list
// again, ErrFutureRevision that it has seen a revision that this state has not reached.
func (s *State) RevisionsAfter(number uint64) ([]Revision, error) {
	switch {
	case number > s.revision:
		return nil, fmt.Errorf("%w (asked after %d, latest %d)", ErrFutureRevision, number, s.revision)
	case number == s.revision:
		return nil, nil
	case len(s.recent) == 0 || number+1 < s.recent[0].Number:
		return nil, fmt.Errorf("%w (asked after %d, kept from %d)", ErrCompacted, number,
			s.revision-uint64(len(s.recent))+1)
	}
	return s.recent[number+1-s.recent[0].Number:], nil
}
