package registry

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
)

// Ref names a version of a plug-in.
type Ref struct{ Plugin, Version string }

func (r Ref) String() string { return r.Plugin + ":" + r.Version }

// Content is what a version is: its digest and its size in bytes.
type Content struct {
	Digest Digest
	Size   int64
}

// Place names an alias of a plan, such as "current".
type Place struct{ Plan, Alias string }

func (p Place) String() string { return p.Plan + "/" + p.Alias }

// Change is one thing that changes: Push, Delete, Move or Drop.
type Change interface{ change() }

// Push adds a version. The same content again is no change; other content under the same name is refused.
type Push struct {
	Ref
	Content
}

// Delete takes a version away that no alias holds.
type Delete struct{ Ref }

// Move points an alias at a version. Where Expect is set it must have pointed there.
type Move struct {
	Place
	To     Ref
	Expect *Ref
}

// Drop takes an alias away.
type Drop struct{ Place }

func (Push) change()   {}
func (Delete) change() {}
func (Move) change()   {}
func (Drop) change()   {}

// Revision is one batch of changes, applied whole.
type Revision struct {
	Number  uint64
	Changes []Change
}

// State is all versions and aliases as of a revision, and the latest revisions for those who watch.
type State struct {
	rev      uint64
	versions map[Ref]Content
	aliases  map[Place]Ref
	held     map[Ref]int // aliases that point at it
	log      []Revision  // the latest, oldest first
	keep     int
}

// NewState returns an empty state that keeps so many revisions for watchers.
func NewState(keep int) *State {
	return &State{versions: map[Ref]Content{}, aliases: map[Place]Ref{}, held: map[Ref]int{}, keep: max(keep, 1)}
}

// Restore returns a state as of a revision, without the ones before it.
func Restore(rev uint64, versions map[Ref]Content, aliases map[Place]Ref, keep int) (*State, error) {
	s := NewState(keep)
	s.rev, s.versions, s.aliases = rev, maps.Clone(versions), maps.Clone(aliases)
	for p, r := range s.aliases {
		if _, ok := s.versions[r]; !ok {
			return nil, fmt.Errorf("%w: %s points at %s", ErrNotFound, p, r)
		}
		s.held[r]++
	}
	return s, nil
}

// Rev is the number of the latest revision.
func (s *State) Rev() uint64 { return s.rev }

// Version looks a version up.
func (s *State) Version(r Ref) (Content, bool) { c, ok := s.versions[r]; return c, ok }

// Alias looks an alias up.
func (s *State) Alias(p Place) (Ref, bool) { r, ok := s.aliases[p]; return r, ok }

// Versions lists all versions, by name.
func (s *State) Versions() []Ref {
	return slices.SortedFunc(maps.Keys(s.versions), func(a, b Ref) int {
		return cmp.Or(cmp.Compare(a.Plugin, b.Plugin), cmp.Compare(a.Version, b.Version))
	})
}

// Aliases lists all aliases, by name.
func (s *State) Aliases() []Place {
	return slices.SortedFunc(maps.Keys(s.aliases), func(a, b Place) int {
		return cmp.Or(cmp.Compare(a.Plan, b.Plan), cmp.Compare(a.Alias, b.Alias))
	})
}

// Plan checks a batch against the state and returns the revision that it would make: without the changes that
// change nothing, nil if none is left. The state is as before. An error names the change at fault by its place.
func (s *State) Plan(batch []Change) (*Revision, error) {
	t := overlay{s: s, versions: map[Ref]*Content{}, aliases: map[Place]*Ref{}, held: map[Ref]int{}}
	rev := &Revision{Number: s.rev + 1}
	for i, c := range batch {
		changes, err := t.apply(c)
		if err != nil {
			return nil, fmt.Errorf("change %d: %w", i, err)
		}
		if changes {
			rev.Changes = append(rev.Changes, c)
		}
	}
	if len(rev.Changes) == 0 {
		return nil, nil
	}
	return rev, nil
}

// Apply takes a revision that Plan returned, or that came over a watch. One that does not follow is refused.
func (s *State) Apply(rev Revision) error {
	if rev.Number != s.rev+1 {
		return fmt.Errorf("%w: revision %d after %d", ErrConflict, rev.Number, s.rev)
	}
	t := overlay{s: s, versions: map[Ref]*Content{}, aliases: map[Place]*Ref{}, held: map[Ref]int{}}
	for i, c := range rev.Changes {
		if _, err := t.apply(c); err != nil {
			return fmt.Errorf("revision %d, change %d: %w", rev.Number, i, err)
		}
	}
	t.commit()
	s.rev = rev.Number
	s.log = append(s.log, rev)
	if n := len(s.log) - s.keep; n > 0 {
		s.log = append([]Revision(nil), s.log[n:]...)
	}
	return nil
}

// Since returns the revisions after one. ErrCompacted tells a watcher to list again, ErrFuture that it has seen
// what this state has not.
func (s *State) Since(rev uint64) ([]Revision, error) {
	switch {
	case rev > s.rev:
		return nil, fmt.Errorf("%w (asked after %d, latest %d)", ErrFuture, rev, s.rev)
	case rev == s.rev:
		return nil, nil
	case len(s.log) == 0 || rev+1 < s.log[0].Number:
		return nil, fmt.Errorf("%w (asked after %d, kept from %d)", ErrCompacted, rev, s.rev-uint64(len(s.log))+1)
	}
	return s.log[rev+1-s.log[0].Number:], nil
}

// overlay is a batch under way over a state that stays as it is until commit.
type overlay struct {
	s        *State
	versions map[Ref]*Content // nil: taken away
	aliases  map[Place]*Ref
	held     map[Ref]int // difference
}

func (t *overlay) version(r Ref) (Content, bool) {
	if c, ok := t.versions[r]; ok {
		if c == nil {
			return Content{}, false
		}
		return *c, true
	}
	return t.s.Version(r)
}

func (t *overlay) alias(p Place) (Ref, bool) {
	if r, ok := t.aliases[p]; ok {
		if r == nil {
			return Ref{}, false
		}
		return *r, true
	}
	return t.s.Alias(p)
}

// apply takes one change; it tells whether that changed anything.
func (t *overlay) apply(c Change) (bool, error) {
	switch c := c.(type) {
	case Push:
		if err := checkNames("plug-in", c.Plugin, "version", c.Version); err != nil {
			return false, err
		}
		if c.Size < 0 {
			return false, fmt.Errorf("%w: %s of %d bytes", ErrName, c.Ref, c.Size)
		}
		if have, ok := t.version(c.Ref); ok {
			if have != c.Content {
				return false, fmt.Errorf("%w: %s is %s", ErrExists, c.Ref, have.Digest)
			}
			return false, nil
		}
		t.versions[c.Ref] = &c.Content
	case Delete:
		if _, ok := t.version(c.Ref); !ok {
			return false, fmt.Errorf("%w: %s", ErrNotFound, c.Ref)
		}
		if n := t.s.held[c.Ref] + t.held[c.Ref]; n > 0 {
			return false, fmt.Errorf("%w: %s, by %d", ErrHeld, c.Ref, n)
		}
		t.versions[c.Ref] = nil
	case Move:
		if err := checkNames("plan", c.Plan, "alias", c.Alias); err != nil {
			return false, err
		}
		if _, ok := t.version(c.To); !ok {
			return false, fmt.Errorf("%w: %s, for %s", ErrNotFound, c.To, c.Place)
		}
		was, ok := t.alias(c.Place)
		if c.Expect != nil && (!ok || was != *c.Expect) {
			return false, fmt.Errorf("%w: %s points at %q, %s was expected", ErrConflict, c.Place, was, *c.Expect)
		}
		if ok && was == c.To {
			return false, nil
		}
		if ok {
			t.held[was]--
		}
		t.held[c.To]++
		t.aliases[c.Place] = &c.To
	case Drop:
		was, ok := t.alias(c.Place)
		if !ok {
			return false, fmt.Errorf("%w: %s", ErrNotFound, c.Place)
		}
		t.held[was]--
		t.aliases[c.Place] = nil
	default:
		return false, fmt.Errorf("%w: change of type %T", ErrName, c)
	}
	return true, nil
}

func checkNames(kind1, name1, kind2, name2 string) error {
	if err := CheckName(kind1, name1); err != nil {
		return err
	}
	return CheckName(kind2, name2)
}

func (t *overlay) commit() {
	for r, c := range t.versions {
		if c == nil {
			delete(t.s.versions, r)
		} else {
			t.s.versions[r] = *c
		}
	}
	for p, r := range t.aliases {
		if r == nil {
			delete(t.s.aliases, p)
		} else {
			t.s.aliases[p] = *r
		}
	}
	for r, n := range t.held {
		if t.s.held[r] += n; t.s.held[r] == 0 {
			delete(t.s.held, r)
		}
	}
}
