package config

import (
	"os"
	"path/filepath"
	"testing"
	"time"
)

// eventTimeout bounds a test's wait for the effect of a file change.
const eventTimeout = 20 * time.Second

// replaceFile replaces a file through a rename.
func replaceFile(t *testing.T, path, content string) {
	t.Helper()
	if err := os.WriteFile(path+".tmp", []byte(content), 0o644); err != nil {
		t.Fatal(err)
	}
	if err := os.Rename(path+".tmp", path); err != nil {
		t.Fatal(err)
	}
}

// followedWorkers records the calls of FollowWorkers to its handler.
type followedWorkers struct {
	t         *testing.T
	applied   chan *WorkerList
	rejected  chan error
	confirmed chan time.Time
}

// followWorkers follows a worker list until the test ends.
func followWorkers(t *testing.T, path string) *followedWorkers {
	f := &followedWorkers{t: t, applied: make(chan *WorkerList, 10), rejected: make(chan error, 100), confirmed: make(chan time.Time, 100)}
	stop, ended := make(chan struct{}), make(chan struct{})
	go func() {
		FollowWorkers(path, stop, WorkerListHandler{Apply: func(list *WorkerList) { f.applied <- list },
			Reject: func(err error) { f.rejected <- err }, Confirm: func(readAt time.Time) { f.confirmed <- readAt }})
		close(ended)
	}()
	t.Cleanup(func() {
		close(stop)
		<-ended
	})
	return f
}

// expectApplied waits for a list with the given number of workers.
func (f *followedWorkers) expectApplied(workers int) {
	f.t.Helper()
	select {
	case list := <-f.applied:
		if len(list.Workers) != workers {
			f.t.Fatalf("%d workers, want %d", len(list.Workers), workers)
		}
	case <-time.After(eventTimeout):
		f.t.Fatal("no list was applied")
	}
}

// expectRejected waits for an error and checks that no list was applied.
func (f *followedWorkers) expectRejected() {
	f.t.Helper()
	select {
	case err := <-f.rejected:
		if err == nil {
			f.t.Fatal("rejected without an error")
		}
	case <-time.After(eventTimeout):
		f.t.Fatal("nothing was rejected")
	}
	if len(f.applied) > 0 {
		f.t.Fatal("an invalid list was applied")
	}
}

// TestFollowWorkers changes the list in each way in which a file can change: by rename, truncation, removal, and in
// place.
func TestFollowWorkers(t *testing.T) {
	path := filepath.Join(t.TempDir(), "w.json")
	replaceFile(t, path, validWorkers)
	f := followWorkers(t, path)
	f.expectApplied(2)
	replaceFile(t, path, validWorkers[:40]) // truncated
	f.expectRejected()
	replaceFile(t, path, `{"workers": [{"id": "w1", "address": "127.0.0.1:1"}]}`)
	f.expectApplied(1)
	if err := os.Remove(path); err != nil { // removed, then created again
		t.Fatal(err)
	}
	f.expectRejected()
	replaceFile(t, path, validWorkers)
	f.expectApplied(2)
	if err := os.WriteFile(path, []byte(`{"workers": []}`), 0o644); err != nil { // in place
		t.Fatal(err)
	}
	f.expectApplied(0)
}

// TestFollowWorkersConfirmsOnlyReadableList checks that each read of the list in use confirms it, and that no read does
// while the file is invalid or missing.
func TestFollowWorkersConfirmsOnlyReadableList(t *testing.T) {
	path := filepath.Join(t.TempDir(), "w.json")
	replaceFile(t, path, validWorkers)
	f := followWorkers(t, path)
	awaitConfirm := func() {
		t.Helper()
		select {
		case <-f.confirmed:
		case <-time.After(eventTimeout):
			t.Fatal("the list was not confirmed")
		}
	}
	f.expectApplied(2)
	awaitConfirm()
	awaitConfirm() // the file is unchanged
	for name, damage := range map[string]func(){
		"invalid": func() { replaceFile(t, path, validWorkers[:40]) },
		"missing": func() { _ = os.Remove(path) },
	} {
		damage()
		f.expectRejected()
		for len(f.confirmed) > 0 {
			<-f.confirmed
		}
		time.Sleep(2 * PollInterval)
		if len(f.confirmed) > 0 {
			t.Errorf("a list was confirmed while the file was %s", name)
		}
		replaceFile(t, path, validWorkers)
		f.expectApplied(2)
		awaitConfirm()
	}
}

// TestFollowFileWithoutWatch guards against files that are never read because they cannot be watched: here the
// directory does not exist yet.
func TestFollowFileWithoutWatch(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "later")
	path := filepath.Join(dir, "f")
	applied, rejected, stop := make(chan string, 4), make(chan error, 4), make(chan struct{})
	ended := make(chan struct{})
	go func() {
		FollowFile(path, stop, FileHandler{Apply: func(raw []byte) error { applied <- string(raw); return nil },
			Reject: func(err error) { rejected <- err }})
		close(ended)
	}()
	if err := <-rejected; err == nil {
		t.Fatal("rejected without an error")
	}
	if err := os.Mkdir(dir, 0o755); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"one", "two"} {
		replaceFile(t, path, want)
		select {
		case got := <-applied:
			if got != want {
				t.Errorf("read %q, want %q", got, want)
			}
		case <-time.After(eventTimeout):
			t.Fatal("the file was not read")
		}
	}
	close(stop)
	<-ended
}
