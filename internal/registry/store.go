package registry

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"hash"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/klauspost/compress/zstd"
	bolt "go.etcd.io/bbolt"
)

// ErrCorrupt tells of content on disk that is not what its name says.
var ErrCorrupt = errors.New("registry: content is corrupt")

// Options are how a store is kept.
type Options struct {
	Keep    int   // revisions kept for watchers
	MaxBlob int64 // bytes of a plug-in, unpacked
	// Fail is nil, or is asked before each step that changes the disk; its error ends the operation there, as a
	// death would. Tests use it.
	Fail func(step string) error
}

// Steps at which Fail is asked, in the order of a push.
const (
	StepTemp   = "blob: create"
	StepWrite  = "blob: write"
	StepSync   = "blob: sync"
	StepRename = "blob: rename"
	StepDir    = "blob: sync folder"
	StepBegin  = "state: begin"
	StepPut    = "state: put"
	StepCommit = "state: commit"
	StepAck    = "state: acknowledge"
	StepGC     = "gc: remove"
)

// Store keeps a registry in a folder: plug-ins as files named by their digests, all else in an embedded database
// whose commits are durable. A change is acknowledged when it is on disk; after a death at any step the state is
// the one before a change or the one after it. One process holds a folder at a time.
type Store struct {
	dir string
	opt Options
	db  *bolt.DB

	mu    sync.RWMutex
	state *State
	held  map[Digest]int // by readers
	moved chan struct{}  // closed at the next revision
	dead  error          // a write whose end is not known: nothing is served any more
}

var (
	bucketVersions = []byte("versions")
	bucketAliases  = []byte("aliases")
	bucketLog      = []byte("revisions")
	bucketMeta     = []byte("meta")
	keyRev         = []byte("revision")
	keyFormat      = []byte("format")
)

const format = "topazfront-registry-1"

// OpenStore opens a folder, or makes it. What a death left half-written is cleared away.
func OpenStore(dir string, opt Options) (*Store, error) {
	if opt.Keep == 0 {
		opt.Keep = 1000
	}
	if opt.MaxBlob == 0 {
		opt.MaxBlob = 1 << 30
	}
	for _, d := range []string{"blobs", "tmp"} {
		if err := os.MkdirAll(filepath.Join(dir, d), 0o755); err != nil {
			return nil, fmt.Errorf("registry: %w", err)
		}
	}
	db, err := bolt.Open(filepath.Join(dir, "state.db"), 0o600, &bolt.Options{Timeout: time.Second})
	if err != nil {
		return nil, fmt.Errorf("registry: %s: %w", filepath.Join(dir, "state.db"), err)
	}
	s := &Store{dir: dir, opt: opt, db: db, held: map[Digest]int{}, moved: make(chan struct{})}
	if err := s.load(); err != nil {
		_ = db.Close()
		return nil, err
	}
	left, err := os.ReadDir(filepath.Join(dir, "tmp"))
	for _, f := range left {
		err = errors.Join(err, os.Remove(filepath.Join(dir, "tmp", f.Name())))
	}
	if err != nil {
		_ = db.Close()
		return nil, fmt.Errorf("registry: %w", err)
	}
	return s, nil
}

func (s *Store) load() error {
	err := s.db.Update(func(tx *bolt.Tx) error {
		for _, b := range [][]byte{bucketVersions, bucketAliases, bucketLog, bucketMeta} {
			if _, err := tx.CreateBucketIfNotExists(b); err != nil {
				return err
			}
		}
		meta := tx.Bucket(bucketMeta)
		if f := meta.Get(keyFormat); f == nil {
			return meta.Put(keyFormat, []byte(format))
		} else if string(f) != format {
			return fmt.Errorf("format %q, this program knows %q", f, format)
		}
		return nil
	})
	if err != nil {
		return fmt.Errorf("registry: %s: %w", s.dir, err)
	}
	return s.db.View(func(tx *bolt.Tx) error {
		versions, aliases := map[Ref]Content{}, map[Place]Ref{}
		err := tx.Bucket(bucketVersions).ForEach(func(k, v []byte) error {
			a, b, ok := strings.Cut(string(k), "\x00")
			if !ok || len(v) != sha256.Size+8 {
				return fmt.Errorf("%w: version %q", ErrCorrupt, k)
			}
			c := Content{Size: int64(binary.BigEndian.Uint64(v[sha256.Size:]))}
			copy(c.Digest[:], v)
			versions[Ref{a, b}] = c
			return nil
		})
		if err != nil {
			return err
		}
		err = tx.Bucket(bucketAliases).ForEach(func(k, v []byte) error {
			a, b, ok := strings.Cut(string(k), "\x00")
			p, q, ok2 := strings.Cut(string(v), "\x00")
			if !ok || !ok2 {
				return fmt.Errorf("%w: alias %q", ErrCorrupt, k)
			}
			aliases[Place{a, b}] = Ref{p, q}
			return nil
		})
		if err != nil {
			return err
		}
		rev := uint64(0)
		if v := tx.Bucket(bucketMeta).Get(keyRev); len(v) == 8 {
			rev = binary.BigEndian.Uint64(v)
		}
		if s.state, err = Restore(rev, versions, aliases, s.opt.Keep); err != nil {
			return err
		}
		return tx.Bucket(bucketLog).ForEach(func(_, v []byte) error {
			var r wireRevision
			if err := json.Unmarshal(v, &r); err != nil {
				return fmt.Errorf("%w: revision: %w", ErrCorrupt, err)
			}
			s.state.log = append(s.state.log, r.revision())
			return nil
		})
	})
}

// Close ends the store.
func (s *Store) Close() error { return s.db.Close() }

func (s *Store) fail(step string) error {
	if s.opt.Fail == nil {
		return nil
	}
	return s.opt.Fail(step)
}

// path is where a plug-in's content lies. A digest's text holds nothing but hexadecimal digits.
func (s *Store) path(d Digest) string {
	t := d.String()
	return filepath.Join(s.dir, "blobs", t[:2], t+".zst")
}

// counting sums and bounds what goes through.
type counting struct {
	hash hash.Hash
	n    int64
	most int64
	to   io.Writer
}

var errTooLarge = errors.New("registry: plug-in is larger than allowed")

func (c *counting) Write(p []byte) (int, error) {
	if c.n += int64(len(p)); c.n > c.most {
		return 0, errTooLarge
	}
	c.hash.Write(p)
	return c.to.Write(p)
}

// Put stores content, packed, and returns its digest. It is durable when Put returns; the same content again is
// found there already. Nothing names it until a Push does.
func (s *Store) Put(r io.Reader) (Content, error) {
	if err := s.fail(StepTemp); err != nil {
		return Content{}, err
	}
	f, err := os.CreateTemp(filepath.Join(s.dir, "tmp"), "put-")
	if err != nil {
		return Content{}, fmt.Errorf("registry: %w", err)
	}
	c, err := s.write(f, r)
	if e := f.Close(); err == nil {
		err = e
	}
	if err == nil {
		err = s.place(f.Name(), c.Digest)
	}
	if err != nil {
		_ = os.Remove(f.Name())
		return Content{}, err
	}
	return c, nil
}

func (s *Store) write(f *os.File, r io.Reader) (Content, error) {
	z, err := zstd.NewWriter(f, zstd.WithEncoderLevel(zstd.SpeedDefault), zstd.WithEncoderConcurrency(1))
	if err != nil {
		return Content{}, err
	}
	sum := &counting{hash: sha256.New(), most: s.opt.MaxBlob, to: z}
	if _, err = io.Copy(sum, r); err == nil {
		err = s.fail(StepWrite)
	}
	if e := z.Close(); err == nil {
		err = e
	}
	if err == nil {
		err = s.fail(StepSync)
	}
	if err == nil {
		err = f.Sync()
	}
	c := Content{Size: sum.n}
	sum.hash.Sum(c.Digest[:0])
	return c, err
}

// place gives a finished file its name. The folder is synced too, as a name is part of it.
func (s *Store) place(tmp string, d Digest) error {
	if err := s.fail(StepRename); err != nil {
		return err
	}
	path := s.path(d)
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return fmt.Errorf("registry: %w", err)
	}
	if err := os.Rename(tmp, path); err != nil {
		return fmt.Errorf("registry: %w", err)
	}
	if err := s.fail(StepDir); err != nil {
		return err
	}
	for _, dir := range []string{filepath.Dir(path), filepath.Join(s.dir, "blobs")} {
		f, err := os.Open(dir)
		if err != nil {
			return fmt.Errorf("registry: %w", err)
		}
		err = f.Sync()
		_ = f.Close()
		if err != nil {
			return fmt.Errorf("registry: %w", err)
		}
	}
	return nil
}

// Commit makes a batch one revision and returns its number; a batch that changes nothing returns the present
// one. Content that a Push names must have been Put.
func (s *Store) Commit(batch []Change) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.dead != nil {
		return 0, s.dead
	}
	rev, err := s.state.Plan(batch)
	if err != nil || rev == nil {
		return s.state.Rev(), err
	}
	for _, c := range rev.Changes {
		if p, ok := c.(Push); ok {
			if _, err := os.Stat(s.path(p.Digest)); err != nil {
				return 0, fmt.Errorf("%w: content %s of %s", ErrNotFound, p.Digest, p.Ref)
			}
		}
	}
	if err := s.fail(StepBegin); err != nil {
		return 0, err
	}
	err = s.db.Update(func(tx *bolt.Tx) error {
		if err := s.put(tx, rev); err != nil {
			return err
		}
		return s.fail(StepCommit)
	})
	if err != nil {
		return 0, fmt.Errorf("registry: not committed: %w", err)
	}
	if err := s.state.Apply(*rev); err != nil {
		s.dead = fmt.Errorf("registry: revision %d is on disk and could not be applied: %w", rev.Number, err)
		return 0, s.dead
	}
	close(s.moved)
	s.moved = make(chan struct{})
	if err := s.fail(StepAck); err != nil { // durable, but whoever asked does not hear of it
		return 0, err
	}
	return rev.Number, nil
}

// put writes a revision in a transaction: what it changes, itself, and its number.
func (s *Store) put(tx *bolt.Tx, rev *Revision) error {
	versions, aliases, log := tx.Bucket(bucketVersions), tx.Bucket(bucketAliases), tx.Bucket(bucketLog)
	for _, c := range rev.Changes {
		var err error
		switch c := c.(type) {
		case Push:
			v := binary.BigEndian.AppendUint64(append([]byte(nil), c.Digest[:]...), uint64(c.Size))
			err = versions.Put([]byte(c.Plugin+"\x00"+c.Version), v)
		case Delete:
			err = versions.Delete([]byte(c.Plugin + "\x00" + c.Version))
		case Move:
			err = aliases.Put([]byte(c.Plan+"\x00"+c.Alias), []byte(c.To.Plugin+"\x00"+c.To.Version))
		case Drop:
			err = aliases.Delete([]byte(c.Plan + "\x00" + c.Alias))
		}
		if err == nil {
			err = s.fail(StepPut)
		}
		if err != nil {
			return err
		}
	}
	raw, err := json.Marshal(wire(*rev))
	if err != nil {
		return err
	}
	number := binary.BigEndian.AppendUint64(nil, rev.Number)
	if err := log.Put(number, raw); err != nil {
		return err
	}
	if rev.Number > uint64(s.opt.Keep) {
		if err := log.Delete(binary.BigEndian.AppendUint64(nil, rev.Number-uint64(s.opt.Keep))); err != nil {
			return err
		}
	}
	return tx.Bucket(bucketMeta).Put(keyRev, number)
}

// View calls f with the state, which must not be changed or kept.
func (s *Store) View(f func(*State)) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	f(s.state)
}

// Moved is closed when a revision after the present one has come.
func (s *Store) Moved() <-chan struct{} {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.moved
}

// Blob is content being read, unpacked. It ends with ErrCorrupt where it is not what its digest says, and never
// brings more bytes than the digest's content has: a file that unpacks into more is corrupt, however much more.
type Blob struct {
	s    *Store
	f    *os.File
	z    *zstd.Decoder
	hash hash.Hash
	want Content
	n    int64
	once sync.Once
}

// Open reads content. While a Blob is open gc leaves its file alone.
func (s *Store) Open(c Content) (*Blob, error) {
	s.mu.Lock()
	s.held[c.Digest]++
	s.mu.Unlock()
	b := &Blob{s: s, hash: sha256.New(), want: c}
	f, err := os.Open(s.path(c.Digest))
	if err != nil {
		b.release()
		if errors.Is(err, fs.ErrNotExist) {
			return nil, fmt.Errorf("%w: content %s", ErrNotFound, c.Digest)
		}
		return nil, fmt.Errorf("registry: %w", err)
	}
	b.f = f
	if b.z, err = zstd.NewReader(f, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(64<<20)); err != nil {
		_ = b.Close()
		return nil, err
	}
	return b, nil
}

func (b *Blob) corrupt(why string) error {
	return fmt.Errorf("%w: %s %s", ErrCorrupt, b.want.Digest, why)
}

// Read implements io.Reader.
func (b *Blob) Read(p []byte) (int, error) {
	if most := b.want.Size - b.n + 1; int64(len(p)) > most {
		p = p[:most]
	}
	n, err := b.z.Read(p)
	if b.n += int64(n); b.n > b.want.Size {
		return 0, b.corrupt("is longer than told")
	}
	b.hash.Write(p[:n])
	switch {
	case err == io.EOF && b.n < b.want.Size:
		return n, b.corrupt("is cut short")
	case err == io.EOF && Digest(b.hash.Sum(nil)) != b.want.Digest:
		return n, b.corrupt("has other bytes")
	case err != nil && err != io.EOF:
		return n, b.corrupt(err.Error())
	}
	return n, err
}

// Close ends the reading.
func (b *Blob) Close() (err error) {
	b.once.Do(func() {
		if b.z != nil {
			b.z.Close()
		}
		err = b.f.Close()
		b.release()
	})
	return err
}

func (b *Blob) release() {
	b.s.mu.Lock()
	defer b.s.mu.Unlock()
	if b.s.held[b.want.Digest]--; b.s.held[b.want.Digest] == 0 {
		delete(b.s.held, b.want.Digest)
	}
}

// Verify reads every version's content again and returns what is wrong, by version. seen is told of each one done.
func (s *Store) Verify(seen func(done, of int)) map[Ref]error {
	all := map[Ref]Content{}
	s.View(func(st *State) {
		for _, r := range st.Versions() {
			all[r], _ = st.Version(r)
		}
	})
	out, done := map[Ref]error{}, 0
	for r, c := range all {
		b, err := s.Open(c)
		if err == nil {
			_, err = io.Copy(io.Discard, b)
			_ = b.Close()
		}
		if err != nil {
			out[r] = err
		}
		if done++; seen != nil {
			seen(done, len(all))
		}
	}
	return out
}

// GC removes content that no version names and nobody reads, and returns what it removed, or with dry what it
// would. Content younger than grace is left alone, as a Push may be about to name it.
func (s *Store) GC(grace time.Duration, dry bool) (gone []Digest, err error) {
	named := map[Digest]bool{}
	s.View(func(st *State) {
		for _, r := range st.Versions() {
			c, _ := st.Version(r)
			named[c.Digest] = true
		}
	})
	err = filepath.WalkDir(filepath.Join(s.dir, "blobs"), func(path string, e fs.DirEntry, err error) error {
		if err != nil || e.IsDir() {
			return err
		}
		d, perr := ParseDigest(strings.TrimSuffix(e.Name(), ".zst"))
		info, ierr := e.Info()
		if perr != nil || ierr != nil || named[d] || time.Since(info.ModTime()) < grace {
			return nil // a file of another kind is not this program's to remove
		}
		s.mu.Lock() // no Commit may name it, and nobody begin to read it, from here on
		defer s.mu.Unlock()
		if s.held[d] > 0 || s.names(d) {
			return nil
		}
		if !dry {
			if err := s.fail(StepGC); err != nil {
				return err
			}
			if err := os.Remove(path); err != nil {
				return fmt.Errorf("registry: %w", err)
			}
		}
		gone = append(gone, d)
		return nil
	})
	return gone, err
}

// names tells whether a version names content. s.mu is held.
func (s *Store) names(d Digest) bool {
	for _, c := range s.state.versions {
		if c.Digest == d {
			return true
		}
	}
	return false
}

// wireRevision is a revision as the database keeps it.
type wireRevision struct {
	Number  uint64       `json:"revision"`
	Changes []wireChange `json:"changes"`
}

type wireChange struct {
	Kind    string `json:"kind"`
	Plugin  string `json:"plugin,omitempty"`
	Version string `json:"version,omitempty"`
	Digest  string `json:"digest,omitempty"`
	Size    int64  `json:"size,omitempty"`
	Plan    string `json:"plan,omitempty"`
	Alias   string `json:"alias,omitempty"`
}

func wire(r Revision) wireRevision {
	out := wireRevision{Number: r.Number}
	for _, c := range r.Changes {
		switch c := c.(type) {
		case Push:
			out.Changes = append(out.Changes, wireChange{Kind: "push", Plugin: c.Plugin, Version: c.Version,
				Digest: c.Digest.String(), Size: c.Size})
		case Delete:
			out.Changes = append(out.Changes, wireChange{Kind: "delete", Plugin: c.Plugin, Version: c.Version})
		case Move:
			out.Changes = append(out.Changes, wireChange{Kind: "move", Plan: c.Plan, Alias: c.Alias, Plugin: c.To.Plugin,
				Version: c.To.Version})
		case Drop:
			out.Changes = append(out.Changes, wireChange{Kind: "drop", Plan: c.Plan, Alias: c.Alias})
		}
	}
	return out
}

func (w wireRevision) revision() Revision {
	out := Revision{Number: w.Number}
	for _, c := range w.Changes {
		switch c.Kind {
		case "push":
			d, _ := ParseDigest(c.Digest)
			out.Changes = append(out.Changes, Push{Ref{c.Plugin, c.Version}, Content{d, c.Size}})
		case "delete":
			out.Changes = append(out.Changes, Delete{Ref{c.Plugin, c.Version}})
		case "move":
			out.Changes = append(out.Changes, Move{Place: Place{c.Plan, c.Alias}, To: Ref{c.Plugin, c.Version}})
		case "drop":
			out.Changes = append(out.Changes, Drop{Place{c.Plan, c.Alias}})
		}
	}
	return out
}
