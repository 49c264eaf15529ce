package catalog

import "github.com/topazfront/topazfront/internal/registry"

// Listing is all that the registry holds as of a revision.
type Listing struct {
	Revision uint64
	Versions map[registry.VersionRef]registry.Content
	Aliases  map[registry.AliasRef]registry.VersionRef
}

// Event is one of SnapshotLoaded, ListReceived, RevisionsReceived and RequestFailed.
type Event interface{ isEvent() }

// SnapshotLoaded reports the last known good listing, read from disk at the start.
type SnapshotLoaded struct{ Listing }

// ListReceived reports the answer to a List.
type ListReceived struct{ Listing }

// RevisionsReceived reports revisions that have come over the watch, or none as a sign that the registry is alive.
type RevisionsReceived struct{ Revisions []registry.Revision }

// RequestFailed reports that a List or the Watch has failed. An error that wraps registry.ErrCompacted or
// registry.ErrFutureRevision makes the catalog list again.
type RequestFailed struct{ Err error }

func (SnapshotLoaded) isEvent()    {}
func (ListReceived) isEvent()      {}
func (RevisionsReceived) isEvent() {}
func (RequestFailed) isEvent()     {}

// Action is one of List, Watch, SaveSnapshot and LogWarning.
type Action interface{ isAction() }

// List asks the registry for all that it holds.
type List struct{}

// Watch asks the registry for the revisions after a given one, from now on.
type Watch struct{ After uint64 }

// SaveSnapshot writes a listing to disk as the last known good one. Its maps must not be changed.
type SaveSnapshot struct{ Listing }

// LogWarning logs a message that operators should see.
type LogWarning struct{ Message string }

func (List) isAction()         {}
func (Watch) isAction()        {}
func (SaveSnapshot) isAction() {}
func (LogWarning) isAction()   {}
