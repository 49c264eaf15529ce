// Package registry stores plug-ins: immutable versions, identified by the digest of their content, and aliases that can
// be moved from one version to another. A plan (a customer's configuration) runs the version that its alias points at.
//
// The package has two layers:
//
//   - State is pure logic without I/O and without a clock. It validates batches of changes, applies them as numbered
//     revisions and keeps the latest revisions for watchers.
//   - Store persists a State: contents in compressed files, everything else in an embedded database.
//
// The package is under development: no program uses it yet. Package catalog builds on its types.
package registry
