package registry

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"strings"

	bolt "go.etcd.io/bbolt"
)

// The database has these buckets:
//
//	versions   plug-in NUL version  ->  digest, size as a number
//	aliases    plan NUL alias       ->  plug-in NUL version
//	revisions  number               ->  storedRevision as JSON, only the latest Options.MaxRevisions
//	meta       "revision"           ->  number of the latest revision
//	           "format"             ->  storeFormat
//
// Numbers are 8 bytes big-endian, so that keys are ordered by number.
var (
	bucketVersions  = []byte("versions")
	bucketAliases   = []byte("aliases")
	bucketRevisions = []byte("revisions")
	bucketMeta      = []byte("meta")
	keyRevision     = []byte("revision")
	keyFormat       = []byte("format")
)

const (
	// storeFormat identifies the format and is stored in the database. Stores with another format are rejected.
	storeFormat = "topazfront-registry-1"

	// nameSeparator separates two names in a key or value. It is unambiguous because ValidateName rejects NUL.
	nameSeparator = "\x00"

	numberSize         = 8 // bytes of a number
	versionRecordBytes = sha256.Size + numberSize
)

func (s *Store) databasePath() string { return filepath.Join(s.dir, databaseFile) }

// databaseOptions returns the options for opening the database.
func (s *Store) databaseOptions() *bolt.Options {
	return &bolt.Options{Timeout: databaseLockTimeout, OpenFile: s.options.openDatabaseFile}
}

// createDatabase creates the database if it does not exist, and reports whether it did. The result is also true if
// another process has created it meanwhile. The file gets its final name only when it is complete, because a database
// that a crash left truncated could never be opened again.
func (s *Store) createDatabase() (created bool, err error) {
	if _, err := os.Stat(s.databasePath()); !errors.Is(err, fs.ErrNotExist) {
		return false, nil // any problem with the file is reported when it is opened
	}
	file, err := s.options.fileSystem.CreateTemp(filepath.Join(s.dir, temporaryDirectory), "state-")
	if err != nil {
		return false, storageError(err)
	}
	_ = file.Close()
	defer func() { _ = s.options.fileSystem.Remove(file.Name()) }()
	db, err := bolt.Open(file.Name(), databaseFileMode, s.databaseOptions())
	if err != nil {
		return false, storageError(err)
	}
	if err := db.Close(); err != nil {
		return false, storageError(err)
	}
	// A link fails if another process has created the database meanwhile; a rename would replace that database.
	if err := os.Link(file.Name(), s.databasePath()); err != nil && !errors.Is(err, fs.ErrExist) {
		return false, storageError(err)
	}
	return true, nil
}

// openDatabase opens the existing database.
func (s *Store) openDatabase() error {
	db, err := bolt.Open(s.databasePath(), databaseFileMode, s.databaseOptions())
	if err != nil {
		return fmt.Errorf("%s: %w", s.databasePath(), storageError(err))
	}
	s.db = db
	return nil
}

// rewriteMetaPages writes the database's two meta pages again, unchanged, and syncs them. The database syncs a
// transaction's data pages before it writes and syncs the meta page. If the sync of the meta page failed, the page may
// be visible in the page cache although it is never written to disk. The next transaction would then overwrite pages to
// which the meta page on disk still refers.
func (s *Store) rewriteMetaPages() error {
	const metaPages = 2
	file, err := s.options.openDatabaseFile(s.databasePath(), os.O_RDWR, databaseFileMode)
	if err != nil {
		return err
	}
	pages := make([]byte, metaPages*s.db.Info().PageSize)
	if _, err = file.ReadAt(pages, 0); err == nil {
		_, err = file.WriteAt(pages, 0)
	}
	if err == nil {
		err = file.Sync()
	}
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	return err
}

// loadState initializes the database if it is empty, and reads the state.
func (s *Store) loadState() error {
	if err := s.db.Update(initializeDatabase); err != nil {
		return fmt.Errorf("%s: %w", s.dir, storageError(err))
	}
	state, err := s.readState()
	if err != nil {
		return err
	}
	s.state = state
	return nil
}

// readState reads the state from the database.
func (s *Store) readState() (state *State, err error) {
	err = s.db.View(func(tx *bolt.Tx) error {
		versions, err := readVersions(tx)
		if err != nil {
			return err
		}
		aliases, err := readAliases(tx)
		if err != nil {
			return err
		}
		number := uint64(0)
		if record := tx.Bucket(bucketMeta).Get(keyRevision); len(record) == numberSize {
			number = binary.BigEndian.Uint64(record)
		}
		if state, err = RestoreState(number, versions, aliases, s.options.MaxRevisions); err != nil {
			return err
		}
		revisions, err := readRevisions(tx)
		state.recent = latestContiguous(revisions, number, state.maxRecent)
		return err
	})
	return state, err
}

// initializeDatabase creates missing buckets, and writes the format or checks the one found.
func initializeDatabase(tx *bolt.Tx) error {
	for _, name := range [][]byte{bucketVersions, bucketAliases, bucketRevisions, bucketMeta} {
		if _, err := tx.CreateBucketIfNotExists(name); err != nil {
			return err
		}
	}
	meta := tx.Bucket(bucketMeta)
	found := meta.Get(keyFormat)
	if found == nil {
		return meta.Put(keyFormat, []byte(storeFormat))
	}
	if string(found) != storeFormat {
		return fmt.Errorf("unsupported store format %q, want %q", found, storeFormat)
	}
	return nil
}

// readVersions reads the content of each version.
func readVersions(tx *bolt.Tx) (map[VersionRef]Content, error) {
	versions := map[VersionRef]Content{}
	err := tx.Bucket(bucketVersions).ForEach(func(key, record []byte) error {
		plugin, version, ok := strings.Cut(string(key), nameSeparator)
		if !ok || len(record) != versionRecordBytes {
			return fmt.Errorf("%w: version %q", ErrCorrupt, key)
		}
		content := Content{Size: int64(binary.BigEndian.Uint64(record[sha256.Size:]))}
		copy(content.Digest[:], record)
		versions[VersionRef{plugin, version}] = content
		return nil
	})
	return versions, err
}

// readAliases reads the target of each alias.
func readAliases(tx *bolt.Tx) (map[AliasRef]VersionRef, error) {
	aliases := map[AliasRef]VersionRef{}
	err := tx.Bucket(bucketAliases).ForEach(func(key, record []byte) error {
		plan, alias, keyOK := strings.Cut(string(key), nameSeparator)
		plugin, version, recordOK := strings.Cut(string(record), nameSeparator)
		if !keyOK || !recordOK {
			return fmt.Errorf("%w: alias %q", ErrCorrupt, key)
		}
		aliases[AliasRef{plan, alias}] = VersionRef{plugin, version}
		return nil
	})
	return aliases, err
}

// readRevisions reads the stored revisions, oldest first.
func readRevisions(tx *bolt.Tx) ([]Revision, error) {
	var revisions []Revision
	err := tx.Bucket(bucketRevisions).ForEach(func(_, record []byte) error {
		var stored storedRevision
		if err := json.Unmarshal(record, &stored); err != nil {
			return fmt.Errorf("%w: revision: %w", ErrCorrupt, err)
		}
		revisions = append(revisions, stored.decode())
		return nil
	})
	return revisions, err
}

// latestContiguous returns the longest run of revisions without a gap that ends with the latest, limited to
// maxRevisions. There can be older revisions before a gap if the store was opened with another Options.MaxRevisions.
func latestContiguous(revisions []Revision, latest uint64, maxRevisions int) []Revision {
	first := len(revisions)
	for want := latest; first > 0 && len(revisions)-first < maxRevisions && revisions[first-1].Number == want; want-- {
		first--
	}
	return revisions[first:]
}

// writeRevision writes a revision in a transaction: the effects of its changes, the revision itself, and its number as
// the latest. It removes the revisions that exceed Options.MaxRevisions.
func (s *Store) writeRevision(tx *bolt.Tx, revision *Revision) error {
	for _, change := range revision.Changes {
		if err := writeChange(tx, change); err != nil {
			return err
		}
		if err := s.failpoint(StepWriteChange); err != nil {
			return err
		}
	}
	record, err := json.Marshal(encodeRevision(*revision))
	if err != nil {
		return err
	}
	revisions := tx.Bucket(bucketRevisions)
	if err := revisions.Put(encodeNumber(revision.Number), record); err != nil {
		return err
	}
	if err := s.removeOldRevisions(revisions, revision.Number); err != nil {
		return err
	}
	return tx.Bucket(bucketMeta).Put(keyRevision, encodeNumber(revision.Number))
}

// removeOldRevisions removes the revisions that are not among the latest Options.MaxRevisions.
func (s *Store) removeOldRevisions(revisions *bolt.Bucket, latest uint64) error {
	var old [][]byte
	cursor := revisions.Cursor()
	for key, _ := cursor.First(); key != nil; key, _ = cursor.Next() {
		if binary.BigEndian.Uint64(key)+uint64(s.options.MaxRevisions) > latest {
			break
		}
		old = append(old, bytes.Clone(key))
	}
	for _, key := range old {
		if err := revisions.Delete(key); err != nil {
			return err
		}
	}
	return nil
}

// writeChange writes the effect of one change in a transaction.
func writeChange(tx *bolt.Tx, change Change) error {
	versions, aliases := tx.Bucket(bucketVersions), tx.Bucket(bucketAliases)
	switch change := change.(type) {
	case PushVersion:
		record := append([]byte(nil), change.Digest[:]...)
		record = binary.BigEndian.AppendUint64(record, uint64(change.Size))
		return versions.Put(encodeNames(change.Plugin, change.Version), record)
	case DeleteVersion:
		return versions.Delete(encodeNames(change.Plugin, change.Version))
	case MoveAlias:
		record := encodeNames(change.Target.Plugin, change.Target.Version)
		return aliases.Put(encodeNames(change.Plan, change.Alias), record)
	case DeleteAlias:
		return aliases.Delete(encodeNames(change.Plan, change.Alias))
	}
	return nil
}

func encodeNames(first, second string) []byte { return []byte(first + nameSeparator + second) }

func encodeNumber(number uint64) []byte { return binary.BigEndian.AppendUint64(nil, number) }
