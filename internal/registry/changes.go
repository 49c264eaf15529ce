package registry

// VersionRef names a version of a plug-in.
type VersionRef struct{ Plugin, Version string }

// String returns "plugin:version".
func (r VersionRef) String() string { return r.Plugin + ":" + r.Version }

// Content identifies the content of a version.
type Content struct {
	Digest Digest
	Size   int64 // bytes, before compression
}

// AliasRef names an alias of a plan, such as "current".
type AliasRef struct{ Plan, Alias string }

// String returns "plan/alias".
func (a AliasRef) String() string { return a.Plan + "/" + a.Alias }

// Change is one of PushVersion, DeleteVersion, MoveAlias and DeleteAlias.
type Change interface{ isChange() }

// PushVersion adds a version. If the version exists, the change has no effect with the same content, and is rejected
// with ErrAlreadyExists with different content.
type PushVersion struct {
	VersionRef
	Content
}

// DeleteVersion removes a version. It is rejected with ErrInUse while an alias points at the version.
type DeleteVersion struct{ VersionRef }

// MoveAlias points an alias at a version. It creates the alias if it does not exist.
type MoveAlias struct {
	AliasRef
	Target VersionRef
	// ExpectedTarget, if not nil, is the version that the alias must point at before the change. Otherwise the change
	// is rejected with ErrConflict.
	ExpectedTarget *VersionRef
}

// DeleteAlias removes an alias.
type DeleteAlias struct{ AliasRef }

func (PushVersion) isChange()   {}
func (DeleteVersion) isChange() {}
func (MoveAlias) isChange()     {}
func (DeleteAlias) isChange()   {}

// Revision is one batch of changes, which is applied atomically. Numbers start at 1 and have no gaps.
type Revision struct {
	Number  uint64
	Changes []Change
}
