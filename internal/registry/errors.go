package registry

import (
	"errors"
	"fmt"
)

// Errors of a State or a Store. They are wrapped with details; compare them with errors.Is.
var (
	// ErrInvalidArgument rejects a malformed name, digest or change.
	ErrInvalidArgument = errors.New("registry: invalid argument")
	// ErrNotFound reports a version, alias or content that does not exist.
	ErrNotFound = errors.New("registry: not found")
	// ErrAlreadyExists rejects other content under the name of an existing version.
	ErrAlreadyExists = errors.New("registry: already exists with other content")
	// ErrInUse rejects the deletion of a version that an alias points at.
	ErrInUse = errors.New("registry: in use by an alias")
	// ErrConflict rejects a change whose expectation of the present state is wrong.
	ErrConflict = errors.New("registry: conflict with the present state")
	// ErrCompacted reports that revisions after the given one are no longer kept. The watcher must list again.
	ErrCompacted = errors.New("registry: revision compacted, list again")
	// ErrFutureRevision reports a revision that this registry has not reached: the watcher has seen more than the
	// registry has, as happens after a restore from a backup.
	ErrFutureRevision = errors.New("registry: revision not reached; was the registry restored from a backup?")
	// ErrCorrupt reports data on disk that does not match its name or its form.
	ErrCorrupt = errors.New("registry: content is corrupt")
	// ErrContentTooLarge rejects content of more than Options.MaxContentSize bytes.
	ErrContentTooLarge = errors.New("registry: plug-in is larger than allowed")
	// ErrStorage reports that the disk failed or is full; the system's error is wrapped too. The operation can be
	// repeated once the directory works again.
	ErrStorage = errors.New("registry: storage failed")
)

// storageError wraps an error of the file system or of the database.
func storageError(err error) error { return fmt.Errorf("%w: %w", ErrStorage, err) }
