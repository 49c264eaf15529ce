// Package server holds what all client protocols share: how a request becomes a call of the router.
package server

import (
	"fmt"
	"math"
	"time"

	"github.com/topazfront/topazfront/internal/oip"
	"github.com/topazfront/topazfront/internal/router"
)

// Model is what the settings say of a model's calls.
type Model struct {
	Class    string
	MemoryMB float64
	Lanes    int
	LoadTime time.Duration // 0: untold
	Work     time.Duration // 0: untold
	Versions []string
}

// Intake turns requests into calls. It is set up once and only read afterwards.
type Intake struct {
	Models    map[string]Model
	Default   Model // for a model that the settings don't name; without a class such calls are turned down
	Deadlines map[string]time.Duration
	Margin    time.Duration // what is kept of a client's time for the way back to it
	MaxBody   int           // bytes of a request message
}

// Error is why a request can't be taken: nothing of it was sent anywhere.
type Error struct {
	Field, Reason string
	Missing       bool // the model is not served here
}

func (e *Error) Error() string { return e.Field + ": " + e.Reason }

// Model returns what is known of a model.
func (in *Intake) Model(name string) (Model, bool) {
	m, ok := in.Models[name]
	if !ok && in.Default.Class != "" {
		return in.Default, true
	}
	return m, ok
}

// Call fills a call in: by the model's settings, and over them by what the request says. left is the time
// until the client gives up, or 0 where it set none; then the class's deadline holds.
func (in *Intake) Call(r oip.RoutingFields, left time.Duration) (*router.Call, error) {
	if r.Model == "" {
		return nil, &Error{Field: "model_name", Reason: "is empty"}
	}
	m, ok := in.Model(r.Model)
	if !ok {
		return nil, &Error{Field: "model_name", Reason: fmt.Sprintf("%q is not served here", r.Model), Missing: true}
	}
	c := &router.Call{Function: r.Function(), Class: m.Class, Tenant: r.Tenant, MemoryMB: m.MemoryMB, ConcurrencyPerInstance: m.Lanes,
		LoadTime: m.LoadTime, ExpectedWork: m.Work}
	if r.Class != "" {
		if _, ok := in.Deadlines[r.Class]; !ok {
			return nil, &Error{Field: "parameters." + oip.ParamClass, Reason: fmt.Sprintf("%q is no class of the settings", r.Class)}
		}
		c.Class = r.Class
	}
	if !math.IsNaN(r.MemoryMB) {
		c.MemoryMB = r.MemoryMB
	}
	if !math.IsNaN(r.ConcurrencyPerInstance) {
		c.ConcurrencyPerInstance = int(min(max(r.ConcurrencyPerInstance, 1), 1024))
	}
	if !math.IsNaN(r.LoadMS) {
		c.LoadTime = time.Duration(r.LoadMS * float64(time.Millisecond))
	}
	if !math.IsNaN(r.WorkMS) {
		c.ExpectedWork = time.Duration(r.WorkMS * float64(time.Millisecond))
	}
	if left <= 0 {
		left = in.Deadlines[c.Class]
	}
	c.RemainingDeadline = left - min(in.Margin, left/10)
	return c, nil
}
