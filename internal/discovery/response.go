package discovery

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"

	"github.com/topazfront/topazfront/dispatch"
)

// PollResponse is the body of a poll's response. Its events are in ascending order of revision. The router's
// configuration contains the endpoints known at the start in the same form.
type PollResponse struct {
	Revision *int64  `json:"cursor"` // required; never nil once parsed
	Events   []Event `json:"cmds"`
}

// Event is one numbered change of the endpoint list. An event of another kind has no Update; it advances the revision
// without a change of the list.
type Event struct {
	Revision *int64          `json:"cursor"` // required, at least 1; never nil once parsed
	Update   *EndpointUpdate `json:"nodes"`
}

// EndpointUpdate is a snapshot of the endpoint list, or the endpoints that have changed in it.
type EndpointUpdate struct {
	Snapshot  bool       `json:"complete"`
	Endpoints []Endpoint `json:"members"`
}

// Endpoint is one worker as the discovery server describes it.
type Endpoint struct {
	ID               string  `json:"id"`
	Address          string  `json:"host_port"`
	Zone             string  `json:"locality"`
	Kind             string  `json:"flavor"`
	Cell             int     `json:"cell"`
	State            string  `json:"phase"` // a key of endpointStates
	Weight           float64 `json:"size"`
	StartedUnixMilli int64   `json:"up_since_ms"` // 0 means long ago
}

// stateRemoved is the state of an endpoint that is removed from the list; its address may be missing.
const stateRemoved = "left"

// endpointStates maps the discovery server's states to the dispatcher's.
var endpointStates = map[string]dispatch.EndpointState{
	"active":     dispatch.EndpointActive,
	"leaving":    dispatch.EndpointDraining,
	stateRemoved: dispatch.EndpointRemoved,
}

// maxEndpointIDLength is the longest endpoint ID that is accepted, in bytes.
const maxEndpointIDLength = 256

// ParsePollResponse decodes and validates the body of a poll's response: it must have a revision, its events must have
// ascending revisions, and each endpoint must have an ID, a known state and, unless it is removed, an address. One
// invalid event invalidates the whole response, so that no part of it is applied.
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
