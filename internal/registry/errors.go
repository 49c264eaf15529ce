package registry

import (
	"errors"
	"fmt"
)

// Errors of State and Store. They are returned wrapped with details; test for them with errors.Is.
var (
	// ErrInvalidArgument rejects a malformed name, digest or change.
	ErrInvalidArgument = errors.New("registry: invalid argument")
	// ErrNotFound reports that a version, alias or content does not exist.
	ErrNotFound = errors.New("registry: not found")
	// ErrAlreadyExists rejects the push of an existing version with different content.
	ErrAlreadyExists = errors.New("registry: already exists with different content")
	// ErrInUse rejects the deletion of a version that an alias points at.
	ErrInUse = errors.New("registry: in use by an alias")
	// ErrConflict rejects a change that expects another state, and a revision that does not follow the latest.
	ErrConflict = errors.New("registry: conflict with the current state")
	// ErrCompacted reports that some revisions after the given one are no longer kept. The watcher must list again.
	ErrCompacted = errors.New("registry: revision compacted, list again")
	// ErrFutureRevision reports that the given revision is later than the latest. This happens to a watcher when the
	// registry was restored from an older backup.
	ErrFutureRevision = errors.New("registry: revision not reached; was the registry restored from a backup?")
	// ErrCorrupt reports content that does not match its digest, or a malformed database record.
	ErrCorrupt = errors.New("registry: data is corrupt")
	// ErrContentTooLarge rejects content of more than Options.MaxContentSize bytes.
	ErrContentTooLarge = errors.New("registry: plug-in is larger than allowed")
	// ErrStorage reports that the disk failed or is full; the operating system's error is wrapped too. The operation
	// can be retried once the disk works again.
	ErrStorage = errors.New("registry: storage failed")
)

// storageError wraps an error of the file system or the database in ErrStorage.
func storageError(err error) error { return fmt.Errorf("%w: %w", ErrStorage, err) }
