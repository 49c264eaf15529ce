package httpserver

import (
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/topazfront/topazfront/dispatch"
	"github.com/topazfront/topazfront/internal/invocation"
	"github.com/topazfront/topazfront/internal/router"
	"github.com/topazfront/topazfront/internal/transport/http1"
)

// turned is why a request can't be taken: nothing of it was sent anywhere.
type turned struct {
	status int
	reason string
}

func (t *turned) Error() string { return t.reason }

// The bounds of what a request may say of itself. Beyond them a figure is no figure: the module is not asked
// what to make of it.
const (
	maxMS     = 10 * 60 * 1000 // of a deadline, an estimate, a load
	maxMemory = 1 << 24        // MB
	maxLanes  = 1024
)

// call fills a call in from a request. came is when its last byte came.
func (f *Front) call(m *http1.Message, came time.Time) (*router.Call, *invocation.Request, error) {
	part := strings.Split(m.Target, "/")
	if len(part) != 4 || part[0] != "" || part[1] != "call" || part[3] != "call" {
		return nil, nil, &turned{404, "no such path"}
	}
	if m.Method != "POST" {
		return nil, nil, &turned{405, "method is not POST"}
	}
	fn := part[2]
	if !invocation.IsLowerHex(fn, 16) {
		return nil, nil, &turned{404, "path: the function is not 16 hex digits"}
	}
	for _, name := range []string{"x-class", "x-correlation-id", "x-deadline-ms", "x-operation-key", "x-estimate-ms", "x-attrs"} {
		if _, once := m.Get(name); !once && m.Has(name) {
			return nil, nil, &turned{400, name + ": given twice"}
		}
	}
	class, _ := m.Get("x-class")
	effect, ok := f.cfg.Classes[class]
	if !ok {
		return nil, nil, &turned{400, "x-class: not a class of the settings"}
	}
	id, _ := m.Get("x-correlation-id")
	if !invocation.IsLowerHex(id, 16) {
		return nil, nil, &turned{400, "x-correlation-id: not 16 hex digits"}
	}
	text, _ := m.Get("x-deadline-ms")
	deadline, ok := figure(text, maxMS)
	if !ok || deadline <= 0 {
		return nil, nil, &turned{400, "x-deadline-ms: not a usable figure"}
	}
	key, given := m.Get("x-operation-key")
	if given && !invocation.IsIdempotencyKey(key) || !given && effect == dispatch.IdempotentByKey {
		return nil, nil, &turned{400, "x-operation-key: missing or unusable"}
	}
	until := came.Add(millis(deadline))
	c := &router.Call{Function: fn, Class: class, ConcurrencyPerInstance: 1, RemainingDeadline: time.Until(until)}
	if text, ok := m.Get("x-estimate-ms"); ok {
		work, ok := figure(text, maxMS)
		if !ok {
			return nil, nil, &turned{400, "x-estimate-ms: not a usable figure"}
		}
		c.ExpectedWork = millis(work)
	}
	if text, ok := m.Get("x-attrs"); ok {
		if err := attrs(c, text); err != nil {
			return nil, nil, err
		}
	}
	req := &invocation.Request{ID: id, Class: class, Function: fn, IdempotencyKey: key, Body: m.Body}
	c.Request = req
	return c, req, nil
}

// attrs reads the further figures of a request.
func attrs(c *router.Call, text string) error {
	seen := 0
	for text != "" {
		var pair string
		pair, text, _ = strings.Cut(text, ";")
		name, value, ok := strings.Cut(pair, ":")
		if seen++; !ok || seen > 16 {
			return &turned{400, "x-attrs: not name:value;name:value"}
		}
		most := float64(maxMS)
		switch name {
		case "memory_mb":
			most = maxMemory
		case "lanes":
			most = maxLanes
		}
		v, ok := figure(value, most)
		if !ok {
			return &turned{400, "x-attrs: a figure that is not usable"}
		}
		switch name {
		case "memory_mb":
			c.MemoryMB = v
		case "lanes":
			c.ConcurrencyPerInstance = int(max(v, 1))
		case "load_ms":
			c.LoadTime = millis(v)
		}
	}
	return nil
}

// figure reads a decimal number from 0 to most: digits, and a fraction where there is one.
func figure(s string, most float64) (float64, bool) {
	if len(s) > 20 || strings.Trim(s, "0123456789.") != "" {
		return 0, false
	}
	v, err := strconv.ParseFloat(s, 64)
	return v, err == nil && v >= 0 && v <= most && !math.IsNaN(v)
}

func millis(v float64) time.Duration { return time.Duration(v * float64(time.Millisecond)) }
