// Package catalog is a router's copy of the registry: it follows the registry's revisions, resolves a plan's alias to a
// version once for each call, and pins the call to that version's content. It does no I/O, reads no clock and starts no
// goroutine: the caller passes events and the time to Step, executes the actions that Step returns, and calls Step
// again no later than NextDeadline.
//
// While the catalog is not up to date or not consistent, calls are resolved as follows:
//
//   - Stale (the watch has failed, or the registry is down): a call gets the last known version, and Pin.Stale is set.
//     A version's content never changes, so the result was correct at the time of the last contact.
//   - Not synced (neither a listing nor a snapshot has been received): a call fails with ErrNotSynced.
//   - Contradictory (a version has different content than before, or the revision number has decreased): new calls get
//     what the registry reports now, and the operators are warned. Calls that are already pinned keep their digest.
//
// The package is under development: no program uses it yet. The caller encodes, reads and writes the snapshots of
// SnapshotLoaded and SaveSnapshot; there is no implementation of that yet.
package catalog
