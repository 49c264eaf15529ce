package config

import (
	"fmt"
	"net"
	"time"

	"github.com/topazfront/topazfront/dispatch"
	"github.com/topazfront/topazfront/internal/endpoints"
	"github.com/topazfront/topazfront/internal/wallclock"
)

// Worker is one entry of the worker list.
type Worker struct {
	ID        string     `json:"id"`
	Address   string     `json:"address"` // host:port
	Zone      string     `json:"zone,omitempty"`
	Kind      string     `json:"kind,omitempty"` // one of the gateway's kinds
	Cell      int        `json:"cell,omitempty"`
	State     string     `json:"state,omitempty"` // on, draining or gone; empty: on
	Weight    float64    `json:"weight,omitempty"`
	StartedAt *time.Time `json:"started,omitempty"` // when its process last started; nil: long ago
}

// WorkerList is the content of the file of workers.
type WorkerList struct {
	Workers []Worker `json:"workers"`
}

// ParseWorkers checks a worker list. Problems of the list are an InvalidError, which names it by file. A list with any
// problem is rejected whole, so that a half-written one takes no worker out of service.
func ParseWorkers(file string, raw []byte) (*WorkerList, error) {
	var list WorkerList
	if err := decode(file, raw, workersSchema, &list); err != nil {
		return nil, err
	}
	invalid, seen := &InvalidError{File: file}, map[string]bool{}
	for i, w := range list.Workers {
		if seen[w.ID] {
			invalid.add(fmt.Sprintf("/workers/%d/id", i), "%q is named twice", w.ID)
		}
		seen[w.ID] = true
		if _, _, err := net.SplitHostPort(w.Address); err != nil {
			invalid.add(fmt.Sprintf("/workers/%d/address", i), "%v", err)
		}
	}
	if err := invalid.orNil(); err != nil {
		return nil, err
	}
	return &list, nil
}

// Endpoints converts the list for the router. starts is the one with which the lists before it were converted.
func (l *WorkerList) Endpoints(starts *endpoints.StartTimes) []endpoints.Worker {
	listed := make(map[string]bool, len(l.Workers))
	workers := make([]endpoints.Worker, 0, len(l.Workers))
	for _, w := range l.Workers {
		endpoint := dispatch.Endpoint{ID: w.ID, Zone: w.Zone, Kind: w.Kind, Cell: w.Cell, State: endpointStates[w.State],
			Weight: w.Weight}
		if w.StartedAt != nil {
			endpoint.StartedAt = starts.Convert(w.ID, wallclock.FromTime(*w.StartedAt))
		}
		workers = append(workers, endpoints.Worker{Endpoint: endpoint, Address: w.Address})
		listed[w.ID] = true
	}
	starts.Retain(func(id string) bool { return listed[id] })
	return workers
}

// StartTimes returns the workers' start times in Unix milliseconds, 0 where the list has none: the same at every router.
func (l *WorkerList) StartTimes() map[string]uint64 {
	starts := make(map[string]uint64, len(l.Workers))
	for _, w := range l.Workers {
		starts[w.ID] = 0
		if w.StartedAt != nil {
			starts[w.ID] = wallclock.FromTime(*w.StartedAt).UnixMilli()
		}
	}
	return starts
}

// WriteWorkers replaces a worker list atomically: a reader sees the old list or the new one, never a part.
func WriteWorkers(path string, list WorkerList) error { return WriteJSON(path, list) }

// WorkerListHandler is notified of a worker list that is followed.
type WorkerListHandler struct {
	Apply   func(*WorkerList)      // takes the list, now and after each change
	Reject  func(error)            // takes the error where the file can't be read or has problems; the list applied before stays in force
	Confirm func(readAt time.Time) // is called after each read that found the list in force
}

// FollowWorkers tells a handler of a worker list. It returns when stop is closed.
func FollowWorkers(path string, stop <-chan struct{}, handler WorkerListHandler) {
	apply := func(raw []byte) error {
		list, err := ParseWorkers(path, raw)
		if err == nil {
			handler.Apply(list)
		}
		return err
	}
	FollowFile(path, stop, FileHandler{Apply: apply, Reject: handler.Reject, Confirm: handler.Confirm})
}
