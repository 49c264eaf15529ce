package fakeplatform

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/topazfront/topazfront/internal/invariants"
)

// Client is a stand-in client: it makes calls and records what comes of them.
type Client struct {
	Base string // "http://host:port"
	Log  *invariants.Log
	HTTP *http.Client
}

// Call makes one call and returns the answer's status, 0 for none, and its body.
func (c *Client) Call(id, class, function string, deadline time.Duration) (int, string) {
	began := c.Log.Now()
	c.Log.Add(invariants.Record{Kind: invariants.CallSent, Call: id, Request: id, Class: class, Router: "r", Deadline: began + deadline})
	ctx, cancel := context.WithTimeout(context.Background(), deadline+5*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, "POST", c.Base+"/call/"+function+"/call", strings.NewReader(id))
	if err != nil {
		return 0, err.Error()
	}
	req.Header.Set("X-Class", class)
	req.Header.Set("X-Correlation-Id", id)
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	req.Header.Set("X-Operation-Key", "k"+id)
	req.Header.Set("X-Estimate-Ms", "5")
	req.Header.Set("X-Attrs", "memory_mb:512;lanes:2;load_ms:5")
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	answer := invariants.Failed
	switch resp.StatusCode {
	case 200:
		answer = invariants.Served
	case 429, 503:
		answer = invariants.Rejected
	}
	c.Log.Add(invariants.Record{Kind: invariants.FinalAnswer, Call: id, Request: id, Class: class, Router: "r", Answer: answer})
	return resp.StatusCode, string(body)
}
