// Package registry holds plug-ins: immutable versions that are identified by the digest of their content, and
// aliases that move between versions. A plan (a customer's configuration) runs the version that its alias names.
//
// The package has two layers:
//
//   - State is a pure core without I/O or clock. It checks batches of changes, applies them as numbered revisions
//     and keeps the latest revisions for those who watch.
//   - Store keeps on disk what a State accepts: contents as compressed files, all else in an embedded database.
//
// The package is under development: no program uses it yet. Package catalog builds on its types.
package registry
