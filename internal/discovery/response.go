package discovery

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"

	"github.com/topazfront/topazfront/dispatch"
)

// PollResponse is the body of one answer to a poll, in ascending order of revision. The router's configuration holds
// the same form for the endpoints known at the start.
type PollResponse struct {
	Revision *int64  `json:"cursor"` // required; never nil once parsed
	Events   []Event `json:"cmds"`
}

// Event is one numbered change. An event of any other kind has no Update: it advances the revision and changes nothing.
type Event struct {
	Revision *int64          `json:"cursor"` // required, at least 1; never nil once parsed
	Update   *EndpointUpdate `json:"nodes"`
}

// EndpointUpdate is a full snapshot of the endpoint list, or the endpoints that changed in it.
type EndpointUpdate struct {
	Snapshot  bool       `json:"complete"`
	Endpoints []Endpoint `json:"members"`
}

// Endpoint is one worker in the server's terms.
type Endpoint struct {
	ID               string  `json:"id"`
	Address          string  `json:"host_port"`
	Zone             string  `json:"locality"`
	Kind             string  `json:"flavor"`
	Cell             int     `json:"cell"`
	State            string  `json:"phase"` // a key of endpointStates
	Weight           float64 `json:"size"`
	StartedUnixMilli int64   `json:"up_since_ms"` // 0: long ago
}

// stateRemoved is the state of an endpoint that leaves the list; its address may be missing.
const stateRemoved = "left"

// endpointStates maps the server's states to the dispatcher's.
var endpointStates = map[string]dispatch.EndpointState{
	"active":     dispatch.EndpointActive,
	"leaving":    dispatch.EndpointDraining,
	stateRemoved: dispatch.EndpointRemoved,
}

// maxEndpointIDLength is the longest endpoint ID that is accepted, in bytes.
const maxEndpointIDLength = 256

// ParsePollResponse decodes a poll's response body and validates it: it has a revision, its events are numbered in
// ascending order, and each endpoint has an ID, a known state and, unless it is removed, an address. One invalid event
// rejects the whole response, so that no part of it is applied.
func ParsePollResponse(raw []byte) (PollResponse, error) {
	var response PollResponse
	if err := json.Unmarshal(raw, &response); err != nil {
		return response, fmt.Errorf("discovery: %w", err)
	}
	if response.Revision == nil {
		return response, errors.New("discovery: response without a cursor")
	}
	for i, event := range response.Events {
		switch {
		case event.Revision == nil || *event.Revision < 1:
			return response, fmt.Errorf("discovery: event %d of the response has no valid cursor", i)
		case i > 0 && *event.Revision <= *response.Events[i-1].Revision:
			return response, fmt.Errorf("discovery: event %d follows event %d", *event.Revision, *response.Events[i-1].Revision)
		}
		if err := event.validateEndpoints(); err != nil {
			return response, err
		}
	}
	return response, nil
}

// validateEndpoints checks the endpoints of an event whose revision is valid.
func (e Event) validateEndpoints() error {
	if e.Update == nil {
		return nil
	}
	for _, endpoint := range e.Update.Endpoints {
		_, knownState := endpointStates[endpoint.State]
		validID := endpoint.ID != "" && len(endpoint.ID) <= maxEndpointIDLength
		if !knownState || !validID {
			return fmt.Errorf("discovery: event %d: invalid endpoint %.40q in state %.20q", *e.Revision, endpoint.ID, endpoint.State)
		}
		if _, _, err := net.SplitHostPort(endpoint.Address); err != nil && endpoint.State != stateRemoved {
			return fmt.Errorf("discovery: event %d: endpoint %.40q: %w", *e.Revision, endpoint.ID, err)
		}
	}
	return nil
}
