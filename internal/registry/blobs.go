package registry

import (
	"crypto/sha256"
	"hash"
	"io"
	"path/filepath"

	"github.com/klauspost/compress/zstd"

	"github.com/topazfront/topazfront/internal/durable"
)

// blobSuffix is the file name suffix of contents, which are compressed with zstd.
const blobSuffix = ".zst"

// blobPath returns the path of a content's file. It is always within the store's directory, because the text of a
// digest has only hexadecimal digits.
func (s *Store) blobPath(digest Digest) string {
	name := digest.String()
	return filepath.Join(s.dir, blobsDirectory, name[:2], name+blobSuffix)
}

// PutContent compresses and stores content, and returns its digest and size. The content is durable when PutContent
// returns. Content that is already stored is written again and replaces the existing file. Until a committed
// PushVersion refers to the content, garbage collection may remove it after a grace period. Content above
// Options.MaxContentSize is rejected with ErrContentTooLarge. After ErrStorage the content must be stored again before
// a version can refer to it.
func (s *Store) PutContent(r io.Reader) (Content, error) {
	if err := s.failpoint(StepCreateTempFile); err != nil {
		return Content{}, err
	}
	file, err := s.options.fileSystem.CreateTemp(filepath.Join(s.dir, temporaryDirectory), "put-")
	if err != nil {
		return Content{}, storageError(err)
	}
	content, err := s.writeBlob(file, r)
	if closeErr := file.Close(); err == nil && closeErr != nil {
		err = storageError(closeErr)
	}
	if err == nil {
		s.recordStoreTime(content.Digest)
		err = s.publishBlob(file.Name(), content.Digest)
	}
	if err != nil {
		_ = s.options.fileSystem.Remove(file.Name())
		return Content{}, err
	}
	return content, nil
}

// writeBlob writes the compressed content of r to a file and syncs the file.
func (s *Store) writeBlob(file durable.File, r io.Reader) (Content, error) {
	encoder, err := zstd.NewWriter(storageWriter{file}, zstd.WithEncoderLevel(zstd.SpeedDefault), zstd.WithEncoderConcurrency(1))
	if err != nil {
		return Content{}, err
	}
	hasher := &boundedHasher{hash: sha256.New(), limit: s.options.MaxContentSize, next: encoder}
	if _, err = io.Copy(hasher, r); err == nil {
		err = s.failpoint(StepWriteBlob)
	}
	if closeErr := encoder.Close(); err == nil {
		err = closeErr
	}
	if err == nil {
		err = s.failpoint(StepSyncBlob)
	}
	if err == nil {
		if syncErr := file.Sync(); syncErr != nil {
			err = storageError(syncErr)
		}
	}
	content := Content{Size: hasher.size}
	hasher.hash.Sum(content.Digest[:0])
	return content, err
}

// publishBlob renames a complete temporary file to its final name. If that fails, the content counts as not durable
// until it is stored again.
func (s *Store) publishBlob(temporaryPath string, digest Digest) error {
	if err := s.failpoint(StepRenameBlob); err != nil {
		return err
	}
	s.publishMu.Lock()
	defer s.publishMu.Unlock()
	err := s.renameBlob(temporaryPath, s.blobPath(digest))
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.undurable[digest] = true
		return err
	}
	delete(s.undurable, digest)
	return nil
}

// renameBlob renames a content's file and syncs the directories, because only their sync makes the name durable.
func (s *Store) renameBlob(temporaryPath, path string) error {
	fileSystem := s.options.fileSystem
	if err := fileSystem.MkdirAll(filepath.Dir(path), directoryMode); err != nil {
		return storageError(err)
	}
	if err := fileSystem.Rename(temporaryPath, path); err != nil {
		return storageError(err)
	}
	if err := s.failpoint(StepSyncDirectories); err != nil {
		return err
	}
	for _, dir := range []string{filepath.Dir(path), filepath.Join(s.dir, blobsDirectory)} {
		if err := fileSystem.SyncDirectory(dir); err != nil {
			return storageError(err)
		}
	}
	return nil
}

// storageWriter marks write errors as ErrStorage, to distinguish them from errors of the content's reader.
type storageWriter struct{ file durable.File }

// Write implements io.Writer.
func (w storageWriter) Write(p []byte) (int, error) {
	n, err := w.file.Write(p)
	if err != nil {
		err = storageError(err)
	}
	return n, err
}

// boundedHasher hashes the bytes written to it and forwards them to next. Writes beyond its limit fail with
// ErrContentTooLarge.
type boundedHasher struct {
	hash  hash.Hash
	size  int64 // bytes written
	limit int64 // in bytes
	next  io.Writer
}

// Write implements io.Writer.
func (h *boundedHasher) Write(p []byte) (int, error) {
	if h.size += int64(len(p)); h.size > h.limit {
		return 0, ErrContentTooLarge
	}
	h.hash.Write(p)
	return h.next.Write(p)
}
