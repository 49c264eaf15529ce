package fakeplatform

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/topazfront/topazfront/internal/invariants"
)

// responseGrace is how long a client waits for a response beyond the deadline of its call.
const responseGrace = 5 * time.Second

// Client is a fake client. It makes calls and records them and their final answers.
type Client struct {
	BaseURL    string // "http://host:port"
	Records    *invariants.Log
	HTTPClient *http.Client
	Router     string // the router's name in the records; "" means DefaultRouter
}

// router returns the router's name in the records.
func (c *Client) router() string { return cmp.Or(c.Router, DefaultRouter) }

// Call makes one call. It returns the status and the body of the response, or 0 and the text of an error if no complete
// response was received.
func (c *Client) Call(id, class, function string, deadline time.Duration) (status int, body string) {
	started := c.Records.Now()
	c.Records.Add(invariants.Record{Kind: invariants.CallSent, Call: id, Request: id, Class: class, Router: c.router(), Deadline: started + deadline})
	ctx, cancel := context.WithTimeout(context.Background(), deadline+responseGrace)
	defer cancel()
	request, err := c.newRequest(ctx, id, class, function, deadline)
	if err != nil {
		return 0, err.Error()
	}
	response, err := c.HTTPClient.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	raw, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err.Error()
	}
	c.Records.Add(invariants.Record{Kind: invariants.FinalAnswer, Call: id, Request: id, Class: class, Router: c.router(),
		Answer: answerOf(response.StatusCode)})
	return response.StatusCode, string(raw)
}

func (c *Client) newRequest(ctx context.Context, id, class, function string, deadline time.Duration) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, c.BaseURL+"/call/"+function+"/call", strings.NewReader(id))
	if err != nil {
		return nil, err
	}
	request.Header.Set("X-Class", class)
	request.Header.Set("X-Correlation-Id", id)
	request.Header.Set("X-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	request.Header.Set("X-Operation-Key", "k"+id)
	request.Header.Set("X-Estimate-Ms", "5")
	request.Header.Set("X-Attrs", "memory_mb:512;lanes:2;load_ms:5")
	return request, nil
}

// answerOf returns the final answer that the status of a response represents.
func answerOf(status int) invariants.Answer {
	switch status {
	case http.StatusOK:
		return invariants.Served
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return invariants.Rejected
	default:
		return invariants.Failed
	}
}
