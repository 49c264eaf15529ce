package config

import (
	"os"
	"path/filepath"
	"testing"
	"time"
)

// eventTimeout is how long a test waits for a change of a file to be seen.
const eventTimeout = 20 * time.Second

// replaceFile replaces a file by rename.
func replaceFile(t *testing.T, path, content string) {
	t.Helper()
	if err := os.WriteFile(path+".tmp", []byte(content), 0o644); err != nil {
		t.Fatal(err)
	}
	if err := os.Rename(path+".tmp", path); err != nil {
		t.Fatal(err)
	}
}

// followedWorkers is a worker list under FollowWorkers.
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

// expectApplied waits for a list of so many workers.
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

// expectRejected waits for an error, and for no list with it.
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

// TestFollowWorkers replaces the list in every way that a file may change under a reader.
func TestFollowWorkers(t *testing.T) {
	path := filepath.Join(t.TempDir(), "w.json")
	replaceFile(t, path, validWorkers)
	f := followWorkers(t, path)
	f.expectApplied(2)
	replaceFile(t, path, validWorkers[:40]) // truncated
	f.expectRejected()
	replaceFile(t, path, `{"workers": [{"id": "w1", "address": "127.0.0.1:1"}]}`)
	f.expectApplied(1)
	if err := os.Remove(path); err != nil { // removed, then back
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

// TestWorkerListIsConfirmedWhileItIsReadable checks that each read which finds the list in force confirms it, and that none
// does while the file is invalid or missing.
func TestWorkerListIsConfirmedWhileItIsReadable(t *testing.T) {
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
	awaitConfirm() // without a change
	for name, spoil := range map[string]func(){
		"invalid": func() { replaceFile(t, path, validWorkers[:40]) },
		"missing": func() { _ = os.Remove(path) },
	} {
		spoil()
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

// TestFollowFileWithoutWatch guards against files that went unread where the system gave no watch: here the folder does
// not exist yet.
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
			t.Fatal("never read")
		}
	}
	close(stop)
	<-ended
}
