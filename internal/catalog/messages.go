package catalog

import "github.com/topazfront/topazfront/internal/registry"

// Listing is the complete content of the registry as of a revision.
type Listing struct {
	Revision uint64
	Versions map[registry.VersionRef]registry.Content
	Aliases  map[registry.AliasRef]registry.VersionRef
}

// Event is one of SnapshotLoaded, ListReceived, RevisionsReceived and RequestFailed.
type Event interface{ isEvent() }

// SnapshotLoaded reports the last saved listing, which was read from disk at startup.
type SnapshotLoaded struct{ Listing }

// ListReceived reports the response to a List.
type ListReceived struct{ Listing }

// RevisionsReceived reports revisions received through the watch. Without revisions it is a heartbeat of the registry.
type RevisionsReceived struct{ Revisions []registry.Revision }

// RequestFailed reports that a List or Watch has failed. After an error that wraps registry.ErrCompacted or
// registry.ErrFutureRevision, the next request is a List.
type RequestFailed struct{ Err error }

func (SnapshotLoaded) isEvent()    {}
func (ListReceived) isEvent()      {}
func (RevisionsReceived) isEvent() {}
func (RequestFailed) isEvent()     {}

// Action is one of List, Watch, SaveSnapshot and LogWarning.
type Action interface{ isAction() }

// List requests a listing from the registry.
type List struct{}

// Watch requests the revisions after a given one from the registry, both existing and future ones.
type Watch struct{ After uint64 }

// SaveSnapshot writes a listing to disk, to be read at the next startup. Its maps must not be changed.
type SaveSnapshot struct{ Listing }

// LogWarning logs a warning for operators.
type LogWarning struct{ Message string }

func (List) isAction()         {}
func (Watch) isAction()        {}
func (SaveSnapshot) isAction() {}
func (LogWarning) isAction()   {}
