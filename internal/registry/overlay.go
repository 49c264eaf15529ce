package registry

import "fmt"

// overlay collects the changes of a batch on top of a state. The state does not change until commit.
type overlay struct {
	base             *State
	versions         map[VersionRef]*Content  // nil if the version is deleted
	aliases          map[AliasRef]*VersionRef // nil if the alias is deleted
	aliasCountDeltas map[VersionRef]int       // to be added to base.aliasCounts
}

func newOverlay(base *State) *overlay {
	return &overlay{
		base:             base,
		versions:         map[VersionRef]*Content{},
		aliases:          map[AliasRef]*VersionRef{},
		aliasCountDeltas: map[VersionRef]int{},
	}
}

// version looks up a version after the changes so far.
func (o *overlay) version(ref VersionRef) (Content, bool) {
	if content, ok := o.versions[ref]; ok {
		if content == nil {
			return Content{}, false
		}
		return *content, true
	}
	return o.base.Version(ref)
}

// alias looks up an alias after the changes so far.
func (o *overlay) alias(ref AliasRef) (VersionRef, bool) {
	if target, ok := o.aliases[ref]; ok {
		if target == nil {
			return VersionRef{}, false
		}
		return *target, true
	}
	return o.base.Alias(ref)
}

// apply validates one change and adds it to the overlay. It reports whether the change has any effect.
func (o *overlay) apply(change Change) (effective bool, err error) {
	switch change := change.(type) {
	case PushVersion:
		return o.pushVersion(change)
	case DeleteVersion:
		return true, o.deleteVersion(change)
	case MoveAlias:
		return o.moveAlias(change)
	case DeleteAlias:
		return true, o.deleteAlias(change)
	default:
		return false, fmt.Errorf("%w: unknown change type %T", ErrInvalidArgument, change)
	}
}

func (o *overlay) pushVersion(push PushVersion) (effective bool, err error) {
	if err := validateNames("plug-in", push.Plugin, "version", push.Version); err != nil {
		return false, err
	}
	if push.Size < 0 {
		return false, fmt.Errorf("%w: %s has a size of %d bytes", ErrInvalidArgument, push.VersionRef, push.Size)
	}
	if existing, ok := o.version(push.VersionRef); ok {
		if existing != push.Content {
			return false, fmt.Errorf("%w: %s has digest %s", ErrAlreadyExists, push.VersionRef, existing.Digest)
		}
		return false, nil
	}
	o.versions[push.VersionRef] = &push.Content
	return true, nil
}

func (o *overlay) deleteVersion(deletion DeleteVersion) error {
	ref := deletion.VersionRef
	if _, ok := o.version(ref); !ok {
		return fmt.Errorf("%w: %s", ErrNotFound, ref)
	}
	if aliases := o.base.aliasCounts[ref] + o.aliasCountDeltas[ref]; aliases > 0 {
		return fmt.Errorf("%w: %s is the target of %d aliases", ErrInUse, ref, aliases)
	}
	o.versions[ref] = nil
	return nil
}

func (o *overlay) moveAlias(move MoveAlias) (effective bool, err error) {
	if err := validateNames("plan", move.Plan, "alias", move.Alias); err != nil {
		return false, err
	}
	if _, ok := o.version(move.Target); !ok {
		return false, fmt.Errorf("%w: %s as the target of %s", ErrNotFound, move.Target, move.AliasRef)
	}
	previous, exists := o.alias(move.AliasRef)
	if move.ExpectedTarget != nil && (!exists || previous != *move.ExpectedTarget) {
		return false, fmt.Errorf("%w: %s points at %q, want %s",
			ErrConflict, move.AliasRef, previous, *move.ExpectedTarget)
	}
	if exists && previous == move.Target {
		return false, nil
	}
	if exists {
		o.aliasCountDeltas[previous]--
	}
	o.aliasCountDeltas[move.Target]++
	o.aliases[move.AliasRef] = &move.Target
	return true, nil
}

func (o *overlay) deleteAlias(deletion DeleteAlias) error {
	previous, ok := o.alias(deletion.AliasRef)
	if !ok {
		return fmt.Errorf("%w: %s", ErrNotFound, deletion.AliasRef)
	}
	o.aliasCountDeltas[previous]--
	o.aliases[deletion.AliasRef] = nil
	return nil
}

// commit applies the changes to the state.
func (o *overlay) commit() {
	for ref, content := range o.versions {
		if content == nil {
			delete(o.base.versions, ref)
		} else {
			o.base.versions[ref] = *content
		}
	}
	for ref, target := range o.aliases {
		if target == nil {
			delete(o.base.aliases, ref)
		} else {
			o.base.aliases[ref] = *target
		}
	}
	for ref, delta := range o.aliasCountDeltas {
		if o.base.aliasCounts[ref] += delta; o.base.aliasCounts[ref] == 0 {
			delete(o.base.aliasCounts, ref)
		}
	}
}
