package registry

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
)

// State holds all versions and aliases as of a revision, and the latest revisions for watchers. It is not safe for
// concurrent use.
type State struct {
	revision    uint64
	versions    map[VersionRef]Content
	aliases     map[AliasRef]VersionRef
	aliasCounts map[VersionRef]int // number of aliases that point at a version; has no zero counts
	recent      []Revision         // the latest revisions, oldest first
	maxRecent   int                // maximum length of recent
}

// NewState returns an empty state at revision 0. It keeps the latest maxRecent revisions, but at least one.
func NewState(maxRecent int) *State {
	return &State{
		versions:    map[VersionRef]Content{},
		aliases:     map[AliasRef]VersionRef{},
		aliasCounts: map[VersionRef]int{},
		maxRecent:   max(maxRecent, 1),
	}
}

// RestoreState returns a state as of a revision, without a history of earlier revisions. It copies the maps. It returns
// ErrNotFound if an alias points at an unknown version.
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

// Version looks up the content of a version.
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

// Prepare validates a batch against the state and returns the resulting revision without changing the state. The
// revision omits changes that have no effect; it is nil if none of them has. An error has the index of the rejected
// change in the batch.
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

// Apply applies a revision that was returned by Prepare or received through a watch. A revision whose number is not the
// one after the latest is rejected with ErrConflict. If Apply returns an error, the state is unchanged.
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

// RevisionsAfter returns the revisions after the one with the given number. It returns ErrCompacted if some of them are
// no longer kept, and ErrFutureRevision if the number is greater than that of the latest revision.
func (s *State) RevisionsAfter(number uint64) ([]Revision, error) {
	switch {
	case number > s.revision:
		return nil, fmt.Errorf("%w (requested after %d, latest is %d)", ErrFutureRevision, number, s.revision)
	case number == s.revision:
		return nil, nil
	case len(s.recent) == 0 || number+1 < s.recent[0].Number:
		return nil, fmt.Errorf("%w (requested after %d, oldest kept is %d)", ErrCompacted, number,
			s.revision-uint64(len(s.recent))+1)
	}
	return s.recent[number+1-s.recent[0].Number:], nil
}
