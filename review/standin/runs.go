package main

import (
	"sync"
	"time"
)

// execution is an attempt as it came to a model server.
type execution struct {
	server string
	cell   int
	id     string
	class  string
	key    string
	at     time.Duration
	word   string
	ran    bool
	effect bool // it had an effect: it ran and its key was new to the cell
}

// executions holds all attempts that model servers received.
type executions struct {
	mu       sync.Mutex
	all      []*execution
	messages []message
}

// message is an attempt or an order to load as it came to a model server.
type message struct {
	server, what string
	at           time.Duration
}

// got records a message.
func (e *executions) got(server, what string, at time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.messages = append(e.messages, message{server, what, at})
}

// received returns the messages so far.
func (e *executions) received() []message {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]message(nil), e.messages...)
}

var runs executions

func (e *executions) arrived(s *server, id, class, key string, at time.Duration, word string, ran bool) {
	effect := ran
	if ran && class == "renew" && s.keys != nil {
		effect = s.keys.add(key)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.all = append(e.all, &execution{server: s.id, cell: s.cell, id: id, class: class, key: key, at: at, word: word,
		ran: ran, effect: effect})
}

func (e *executions) list() []*execution {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]*execution(nil), e.all...)
}
