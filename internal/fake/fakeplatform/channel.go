package fakeplatform

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Channel is a stand-in command channel: numbered events, told to whoever asks.
type DiscoveryServer struct {
	// Answer is asked before each answer is written: what it returns is written instead, as raw bytes, and the
	// connection is then held open or closed. Nil, or "" from it, answers as usual.
	Respond func(question int, body string) (raw string, hold bool)

	ln        net.Listener
	srv       *http.Server
	mu        sync.Mutex
	events    []string
	more      chan struct{}
	questions []int // the cursors that were asked from
	asked     chan int
	quit      chan struct{}
	hasty     bool
}

// StartChannel listens with the events so far, the first numbered 1.
func StartDiscoveryServer(events ...string) (*DiscoveryServer, error) {
	c := &DiscoveryServer{events: events, more: make(chan struct{}), asked: make(chan int, 1<<12), quit: make(chan struct{})}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	c.ln = ln
	mux := http.NewServeMux()
	mux.HandleFunc("GET /cmd/next", c.next)
	c.srv = &http.Server{Handler: mux}
	go func() { _ = c.srv.Serve(ln) }()
	return c, nil
}

// Addr is where the channel listens.
func (c *DiscoveryServer) Addr() string { return c.ln.Addr().String() }

// Stop ends the channel and its connections.
func (c *DiscoveryServer) Stop() {
	close(c.quit)
	_ = c.srv.Close()
}

// Tell adds an event; body is its JSON without the number, as `"nodes":{...}`.
func (c *DiscoveryServer) AddEvent(event string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.events = append(c.events, event)
	close(c.more)
	c.more = make(chan struct{})
}

// Hasty has the channel answer each question at once from now on.
func (c *DiscoveryServer) RespondAtOnce() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hasty = true
}

// Asked has the cursor of each question, in order.
func (c *DiscoveryServer) Polls() <-chan int { return c.asked }

// Known is the answer to one who knows nothing: the form of "known" in a configuration.
func (c *DiscoveryServer) AllEvents() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.from(0)
}

func (c *DiscoveryServer) from(n int) string {
	var list []string
	for i := n; i < len(c.events); i++ {
		list = append(list, fmt.Sprintf(`{"cursor":%d,%s}`, i+1, c.events[i]))
	}
	return fmt.Sprintf(`{"cursor":%d,"cmds":[%s]}`, len(c.events), strings.Join(list, ","))
}

func (c *DiscoveryServer) next(w http.ResponseWriter, r *http.Request) {
	n, err1 := strconv.Atoi(r.URL.Query().Get("resume"))
	block, err2 := strconv.Atoi(r.URL.Query().Get("block"))
	if err1 != nil || err2 != nil || block < 0 || block > 5000 || n < 0 {
		http.Error(w, "bad question", 400)
		return
	}
	c.mu.Lock()
	c.questions = append(c.questions, n)
	question := len(c.questions)
	more, here := c.more, len(c.events)
	if c.hasty {
		block = 0
	}
	answer := c.Respond
	c.mu.Unlock()
	c.asked <- n
	if here <= n {
		select {
		case <-more:
		case <-time.After(time.Duration(block) * time.Millisecond):
		case <-r.Context().Done():
			return
		case <-c.quit:
			return
		}
	}
	c.mu.Lock()
	body := c.from(min(n, len(c.events)))
	c.mu.Unlock()
	if answer != nil {
		if raw, hold := answer(question, body); raw != "" || hold {
			nc, buf, err := http.NewResponseController(w).Hijack()
			if err != nil {
				return
			}
			_, _ = buf.WriteString(raw)
			_ = buf.Flush()
			if hold {
				<-c.quit
			}
			_ = nc.Close()
			return
		}
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = fmt.Fprint(w, body)
}

// Nodes is an event about workers; each is "id address state" with further words for cell and start, as
// "a 127.0.0.1:1 active 0 1700000000000".
func EndpointsEvent(complete bool, workers ...string) string {
	var list []string
	for _, w := range workers {
		f := append(strings.Fields(w), "0", "0")
		list = append(list, fmt.Sprintf(`{"id":%q,"host_port":%q,"phase":%q,"cell":%s,"up_since_ms":%s,"locality":"z","flavor":"k","size":1.0}`,
			f[0], f[1], f[2], f[3], f[4]))
	}
	return fmt.Sprintf(`"nodes":{"revision":1,"complete":%v,"members":[%s]}`, complete, strings.Join(list, ","))
}
