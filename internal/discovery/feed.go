package discovery

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cloudwego/netpoll"

	"github.com/topazfront/topazfront/internal/endpoints"
	"github.com/topazfront/topazfront/internal/transport/http1"
)

// Config is the feed's share of the settings.
type Config struct {
	Address string
	Connect time.Duration // a connection must come up within this
	Block   time.Duration // how long the channel may hold a question
	Grace   time.Duration // and how long beyond that its answer may take
	Pause   time.Duration // most between questions while they fail; the first follows at once
	MaxBody int           // bytes of an answer
	At      func(time.Time) time.Duration
	Use     func([]endpoints.Worker) // told of each new list, from one goroutine
	Log     *slog.Logger
}

// Feed is the follower of one channel.
type Feed struct {
	cfg   Config
	stop  context.CancelFunc
	ended chan struct{}

	mu    sync.Mutex
	addr  string
	nc    *link // that the question in hand went over
	stats Stats
}

// Stats counts what the feed has seen.
type Stats struct {
	Cursor                           int64
	Questions, Events, Broken, Moves uint64
}

// Start applies what is known and follows the channel from there.
func Start(cfg Config, known Batch) (*Feed, error) {
	if cfg.Log == nil {
		cfg.Log = slog.New(slog.DiscardHandler)
	}
	t := NewTable()
	if _, err := t.Apply(known); err != nil {
		return nil, err
	}
	if c := *known.Cursor; c > t.cursor {
		t.cursor = c
	}
	cfg.Use(t.Workers(cfg.At))
	ctx, stop := context.WithCancel(context.Background())
	f := &Feed{cfg: cfg, addr: cfg.Address, stop: stop, ended: make(chan struct{})}
	f.stats.Cursor = t.cursor
	go f.follow(ctx, t)
	return f, nil
}

// Move has the feed ask at another address from now on. A question in hand at the old one is given up: the
// channel answers the same numbers at the new one.
func (f *Feed) Move(addr string) {
	f.mu.Lock()
	moved := addr != f.addr
	nc := f.nc
	if moved {
		f.addr = addr
		f.stats.Moves++
	}
	f.mu.Unlock()
	if moved && nc != nil {
		nc.end(errMoved)
	}
}

// Stats tells what the feed has seen.
func (f *Feed) Stats() Stats {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.stats
}

// Close ends the feed.
func (f *Feed) Close() {
	f.stop()
	f.mu.Lock()
	nc := f.nc
	f.mu.Unlock()
	if nc != nil {
		nc.end(errMoved)
	}
	<-f.ended
}

// errHasty guards against a channel that does not hold questions back: it would be asked at full speed.
var errHasty = errors.New("feed: answered at once, without an event")

var errMoved = errors.New("the channel has moved")

// follow asks again and again.
func (f *Feed) follow(ctx context.Context, t *Table) {
	defer close(f.ended)
	failures := 0
	for ctx.Err() == nil {
		f.mu.Lock()
		addr, l := f.addr, f.nc
		f.mu.Unlock()
		var err error
		if l == nil || l.addr != addr || l.over() {
			if l != nil {
				l.end(errMoved)
			}
			if l, err = dial(addr, f.cfg); err == nil {
				f.mu.Lock()
				f.nc = l
				f.mu.Unlock()
			}
		}
		var changed bool
		if err == nil {
			changed, err = f.ask(l, t)
		}
		if changed {
			f.cfg.Use(t.Workers(f.cfg.At))
		}
		if err == nil {
			failures = 0
			continue
		}
		if l != nil {
			l.end(err)
		}
		f.mu.Lock()
		f.nc = nil
		f.stats.Broken++
		moved := f.addr != addr
		f.mu.Unlock()
		if moved || errors.Is(err, errMoved) {
			continue
		}
		f.cfg.Log.Info("command channel: asking again", "address", addr, "cursor", t.cursor, "error", err)
		if failures++; failures > 1 { // the first question after a break follows at once
			pause := min(f.cfg.Pause, 10*time.Millisecond<<min(failures, 8))
			select {
			case <-ctx.Done():
			case <-time.After(pause/2 + rand.N(pause/2+1)):
			}
		}
	}
	f.mu.Lock()
	l := f.nc
	f.mu.Unlock()
	if l != nil {
		l.end(errMoved)
	}
}

// ask puts one question and applies its answer.
func (f *Feed) ask(l *link, t *Table) (changed bool, err error) {
	f.mu.Lock()
	f.stats.Questions++
	f.mu.Unlock()
	began := time.Now()
	question := fmt.Sprintf("GET /cmd/next?resume=%d&block=%d HTTP/1.1\r\nHost: %s\r\n\r\n", t.cursor,
		f.cfg.Block.Milliseconds(), l.addr)
	m, err := l.do([]byte(question), f.cfg.Block+f.cfg.Grace)
	if err != nil {
		return false, err
	}
	if m.Status != 200 {
		return false, fmt.Errorf("feed: status %d", m.Status)
	}
	b, err := Parse(m.Body)
	if err != nil {
		return false, err
	}
	before := t.cursor
	if changed, err = t.Apply(b); err != nil {
		return false, err
	}
	f.mu.Lock()
	f.stats.Cursor = t.cursor
	f.stats.Events += uint64(t.cursor - before)
	f.mu.Unlock()
	if m.Close {
		l.end(errors.New("closed after the answer"))
	}
	if t.cursor == before && time.Since(began) < f.cfg.Block/4 {
		return changed, errHasty
	}
	return changed, nil
}

// link is one connection to the channel, with one question in hand at most.
type link struct {
	addr string
	nc   netpoll.Connection
	in   *http1.Reader // of netpoll's goroutine for the connection

	mu     sync.Mutex
	dead   error
	answer chan result
}

type result struct {
	m   *http1.Message
	err error
}

func dial(addr string, cfg Config) (*link, error) {
	nc, err := netpoll.NewDialer().DialConnection("tcp", addr, cfg.Connect)
	if err != nil {
		return nil, fmt.Errorf("feed: %w", err)
	}
	l := &link{addr: addr, nc: nc, answer: make(chan result, 1),
		in: http1.NewResponseReader(http1.Limits{Head: 8 << 10, Fields: 64, Body: cfg.MaxBody, Pending: 1 << 10})}
	_ = nc.SetWriteTimeout(cfg.Connect)
	_ = nc.SetOnRequest(func(context.Context, netpoll.Connection) error { l.read(); return nil })
	_ = nc.AddCloseCallback(func(netpoll.Connection) error { l.closed(); return nil })
	if !nc.IsActive() {
		l.closed()
	}
	return l, nil
}

// do puts a question and waits for its answer.
func (l *link) do(question []byte, limit time.Duration) (*http1.Message, error) {
	if _, err := l.nc.Write(question); err != nil {
		return nil, fmt.Errorf("feed: %w", err)
	}
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case r := <-l.answer:
		return r.m, r.err
	case <-timer.C:
		return nil, errors.New("feed: no answer in time")
	}
}

// read takes what has come.
func (l *link) read() {
	defer func() {
		if v := recover(); v != nil {
			l.end(fmt.Errorf("feed: panic: %v", v))
		}
	}()
	r := l.nc.Reader()
	for n := r.Len(); n > 0; n = r.Len() {
		p, err := r.Next(min(n, max(l.in.Available(), 1)))
		if err == nil {
			err = l.in.Add(p)
		}
		_ = r.Release()
		var m *http1.Message
		if err == nil {
			m, err = l.in.Next()
		}
		if err != nil {
			l.end(err)
			return
		}
		if m != nil {
			l.tell(result{m: m})
		}
	}
}

// closed takes the end of the connection, which may end an answer without a length; JSON cut off is not taken.
func (l *link) closed() {
	if m := l.in.End(); m != nil {
		l.tell(result{m: m})
	}
	l.end(errors.New("feed: connection ended"))
}

func (l *link) tell(r result) {
	select {
	case l.answer <- r:
	default: // an answer that nobody asked for
	}
}

func (l *link) over() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.dead != nil
}

func (l *link) end(err error) {
	l.mu.Lock()
	if l.dead != nil {
		l.mu.Unlock()
		return
	}
	l.dead = err
	l.mu.Unlock()
	l.tell(result{err: err})
	_ = l.nc.Close()
}
