// Package catalog is the core by which a router knows what the registry holds: it follows the registry's revisions,
// resolves a plan's alias to a version once for each call, and pins the call to that version's content. It does no
// I/O, reads no clock and starts no goroutine: the caller hands events with the time to Step, carries out the actions
// that Step returns, and calls it again by NextDeadline at the latest.
//
// What a call gets while the catalog is not in order:
//
//   - Stale (the watch has failed, or the registry is down): the last known version. A version's content never
//     changes, so the call is right as of then; Pin.Stale says so.
//   - Not synced (neither a listing nor a snapshot has been received): ErrNotSynced. Nothing is guessed.
//   - Contradictory (a version has other content than before, or revisions run backwards): new calls get what the
//     registry reports now, and operators are warned. Calls that are pinned keep their digest.
//
// The package is under development: no program uses it yet. Reading, writing and encoding the snapshot that
// SnapshotLoaded and SaveSnapshot carry are the caller's, and not written yet.
package catalog
