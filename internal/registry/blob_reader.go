package registry

import (
	"crypto/sha256"
	"errors"
	"fmt"
	"hash"
	"io"
	"io/fs"
	"os"
	"sync"

	"github.com/klauspost/compress/zstd"
)

// decoderMaxMemory bounds the memory, in bytes, that the decoder allocates as requested by a file's header.
const decoderMaxMemory = 64 << 20

// BlobReader reads and decompresses content. It returns ErrCorrupt if the content does not match its digest. It never
// returns more bytes than the expected size: if a file decompresses to more, it is corrupt and decompression stops. A
// BlobReader is not safe for concurrent use and must be closed.
type BlobReader struct {
	store     *Store
	file      *os.File
	decoder   *zstd.Decoder
	hash      hash.Hash
	want      Content
	size      int64 // bytes read
	closeOnce sync.Once
}

// OpenContent opens content for reading, or returns ErrNotFound. Garbage collection does not remove the file until the
// BlobReader is closed.
func (s *Store) OpenContent(content Content) (*BlobReader, error) {
	s.mu.Lock()
	s.readers[content.Digest]++
	s.mu.Unlock()
	r := &BlobReader{store: s, hash: sha256.New(), want: content}
	file, err := os.Open(s.blobPath(content.Digest))
	if err != nil {
		r.release()
		if errors.Is(err, fs.ErrNotExist) {
			return nil, fmt.Errorf("%w: content %s", ErrNotFound, content.Digest)
		}
		return nil, storageError(err)
	}
	r.file = file
	r.decoder, err = zstd.NewReader(file, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(decoderMaxMemory))
	if err != nil {
		_ = r.Close()
		return nil, err
	}
	return r, nil
}

// Read implements io.Reader.
func (r *BlobReader) Read(p []byte) (int, error) {
	// One byte beyond the expected size is enough to detect that the content is too long.
	if limit := r.want.Size - r.size + 1; int64(len(p)) > limit {
		p = p[:limit]
	}
	n, err := r.decoder.Read(p)
	if r.size += int64(n); r.size > r.want.Size {
		return 0, r.corruptError("is longer than expected")
	}
	r.hash.Write(p[:n])
	if err == nil {
		return n, nil
	}
	var pathErr *fs.PathError
	if errors.As(err, &pathErr) { // reading failed; the data on disk may be correct
		return n, storageError(err)
	}
	if !errors.Is(err, io.EOF) {
		return n, r.corruptError(err.Error())
	}
	if r.size < r.want.Size {
		return n, r.corruptError("is truncated")
	}
	if Digest(r.hash.Sum(nil)) != r.want.Digest {
		return n, r.corruptError("does not match its digest")
	}
	return n, err
}

func (r *BlobReader) corruptError(reason string) error {
	return fmt.Errorf("%w: %s %s", ErrCorrupt, r.want.Digest, reason)
}

// Close releases the reader's resources. Further calls have no effect.
func (r *BlobReader) Close() error {
	var err error
	r.closeOnce.Do(func() {
		if r.decoder != nil {
			r.decoder.Close()
		}
		err = r.file.Close()
		r.release()
	})
	return err
}

// release allows garbage collection to remove the file, unless it has other readers.
func (r *BlobReader) release() {
	s, digest := r.store, r.want.Digest
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.readers[digest]--; s.readers[digest] == 0 {
		delete(s.readers, digest)
	}
}
