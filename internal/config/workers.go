package config

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"time"

	"github.com/topazfront/topazfront/dispatch"
	"github.com/topazfront/topazfront/internal/endpoints"
)

// Worker is one line of the list of workers.
type Worker struct {
	ID      string     `json:"id"`
	Address string     `json:"address"`
	Zone    string     `json:"zone,omitempty"`
	Kind    string     `json:"kind,omitempty"`
	Cell    int        `json:"cell,omitempty"`
	State   string     `json:"state,omitempty"`
	Weight  float64    `json:"weight,omitempty"`
	Started *time.Time `json:"started,omitempty"`
}

// WorkerList is the list of workers.
type WorkerList struct {
	Workers []Worker `json:"workers"`
}

// ParseWorkers checks a list of workers; name stands in errors. A list with anything wrong in it is refused
// whole, so that a half-written one takes no worker out of service.
func ParseWorkers(name string, raw []byte) (*WorkerList, error) {
	if err := validate(name, raw, workersSchema); err != nil {
		return nil, err
	}
	var l WorkerList
	if err := json.Unmarshal(raw, &l); err != nil {
		return nil, &InvalidError{name, []Problem{{"", err.Error()}}}
	}
	out := &InvalidError{File: name}
	seen := map[string]bool{}
	for i, w := range l.Workers {
		if seen[w.ID] {
			out.Problems = append(out.Problems, Problem{fmt.Sprintf("/workers/%d/id", i), fmt.Sprintf("%q is named twice", w.ID)})
		}
		seen[w.ID] = true
		if _, _, err := net.SplitHostPort(w.Address); err != nil {
			out.Problems = append(out.Problems, Problem{fmt.Sprintf("/workers/%d/address", i), err.Error()})
		}
	}
	if len(out.Problems) > 0 {
		return nil, out
	}
	return &l, nil
}

// Roster converts the list; at gives the router's time for a moment.
func (l *WorkerList) Roster(at func(time.Time) time.Duration) []endpoints.Worker {
	states := map[string]dispatch.EndpointState{"": dispatch.EndpointActive, "on": dispatch.EndpointActive, "draining": dispatch.EndpointDraining, "gone": dispatch.EndpointRemoved}
	out := make([]endpoints.Worker, 0, len(l.Workers))
	for _, w := range l.Workers {
		m := dispatch.Endpoint{ID: w.ID, Zone: w.Zone, Kind: w.Kind, Cell: w.Cell, State: states[w.State], Weight: w.Weight}
		if w.Started != nil {
			m.StartedAt = at(*w.Started)
		}
		out = append(out, endpoints.Worker{Endpoint: m, Address: w.Address})
	}
	return out
}

// Starts gives the workers' start times in Unix milliseconds, 0 for long ago: the same at every router.
func (l *WorkerList) Starts() map[string]uint64 {
	out := make(map[string]uint64, len(l.Workers))
	for _, w := range l.Workers {
		if out[w.ID] = 0; w.Started != nil {
			out[w.ID] = uint64(max(w.Started.UnixMilli(), 0))
		}
	}
	return out
}

// WriteWorkers replaces a list in one step: a reader sees the old one or the new one whole.
func WriteWorkers(path string, l WorkerList) error { return WriteFile(path, l) }

// WriteFile replaces a file by a value as JSON, in one step.
func WriteFile(path string, v any) error {
	raw, err := json.MarshalIndent(v, "", " ")
	if err != nil {
		return err
	}
	tmp := path + ".new"
	if err := os.WriteFile(tmp, raw, 0o644); err != nil {
		return err
	}
	return os.Rename(tmp, path)
}

// Follow calls list with the file's content now and after each change, and refused with what is wrong where
// it can't be used; the list handed over before then stands. It returns when stop is closed.
func Follow(path string, stop <-chan struct{}, list func(*WorkerList), refused func(error)) {
	FollowFile(path, stop, func(raw []byte) error {
		l, err := ParseWorkers(path, raw)
		if err == nil {
			list(l)
		}
		return err
	}, refused)
}
