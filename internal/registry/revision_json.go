package registry

// Values of storedChange.Kind.
const (
	kindPushVersion   = "push"
	kindDeleteVersion = "delete"
	kindMoveAlias     = "move"
	kindDeleteAlias   = "drop"
)

// storedRevision is the JSON encoding of a revision in the database. The tags are part of the store's format.
type storedRevision struct {
	Number  uint64         `json:"revision"`
	Changes []storedChange `json:"changes"`
}

// storedChange is the JSON encoding of any Change; Kind has its type. MoveAlias.ExpectedTarget is not stored, because
// it was checked before the revision was committed.
type storedChange struct {
	Kind    string `json:"kind"`
	Plugin  string `json:"plugin,omitempty"`
	Version string `json:"version,omitempty"`
	Digest  string `json:"digest,omitempty"`
	Size    int64  `json:"size,omitempty"`
	Plan    string `json:"plan,omitempty"`
	Alias   string `json:"alias,omitempty"`
}

func encodeRevision(revision Revision) storedRevision {
	stored := storedRevision{Number: revision.Number}
	for _, change := range revision.Changes {
		switch change := change.(type) {
		case PushVersion:
			stored.Changes = append(stored.Changes, storedChange{Kind: kindPushVersion,
				Plugin: change.Plugin, Version: change.Version, Digest: change.Digest.String(), Size: change.Size})
		case DeleteVersion:
			stored.Changes = append(stored.Changes, storedChange{Kind: kindDeleteVersion,
				Plugin: change.Plugin, Version: change.Version})
		case MoveAlias:
			stored.Changes = append(stored.Changes, storedChange{Kind: kindMoveAlias,
				Plan: change.Plan, Alias: change.Alias, Plugin: change.Target.Plugin, Version: change.Target.Version})
		case DeleteAlias:
			stored.Changes = append(stored.Changes, storedChange{Kind: kindDeleteAlias,
				Plan: change.Plan, Alias: change.Alias})
		}
	}
	return stored
}

// decode converts a stored revision to a Revision. Changes of unknown kinds are omitted, and an invalid digest is
// decoded as zeros.
func (r storedRevision) decode() Revision {
	revision := Revision{Number: r.Number}
	for _, stored := range r.Changes {
		version := VersionRef{stored.Plugin, stored.Version}
		alias := AliasRef{stored.Plan, stored.Alias}
		switch stored.Kind {
		case kindPushVersion:
			digest, _ := ParseDigest(stored.Digest)
			revision.Changes = append(revision.Changes, PushVersion{version, Content{digest, stored.Size}})
		case kindDeleteVersion:
			revision.Changes = append(revision.Changes, DeleteVersion{version})
		case kindMoveAlias:
			revision.Changes = append(revision.Changes, MoveAlias{AliasRef: alias, Target: version})
		case kindDeleteAlias:
			revision.Changes = append(revision.Changes, DeleteAlias{alias})
		}
	}
	return revision
}
