package discovery

import "github.com/topazfront/topazfront/internal/transport/http1"

// maxLatePolls is how many polls stay pending after their time-out, until a later one is answered in time. A silent server and a slow one look the same by
// then: the first needs another poll, on another connection, and the second needs its time. With two, a response may take
// three times as long as a poll's time-out.
const maxLatePolls = 2

// latePolls are the polls that have timed out and may be answered yet, the oldest first. They belong to Watcher.run;
// arrived may be used by others.
type latePolls struct {
	conns   []*connection
	arrived chan struct{} // signals, with a buffer of one, that a connection has a result
}

func newLatePolls() *latePolls { return &latePolls{arrived: make(chan struct{}, 1)} }

// add keeps a poll pending. The oldest is abandoned for it where there are too many.
func (l *latePolls) add(conn *connection) {
	if len(l.conns) == maxLatePolls {
		l.conns[0].close(errResponseTimeout)
		l.conns = l.conns[1:]
	}
	l.conns = append(l.conns, conn)
	conn.notifyResult(l.arrived)
}

// take returns the responses that have arrived. Polls that have ended, so or otherwise, are closed.
func (l *latePolls) take() (responses []*http1.Message) {
	pending := l.conns[:0:0]
	for _, conn := range l.conns {
		select {
		case result := <-conn.results:
			if result.err == nil {
				responses = append(responses, result.message)
			}
			conn.close(errResponseTimeout)
		default:
			pending = append(pending, conn)
		}
	}
	l.conns = pending
	return responses
}

// close abandons all late polls.
func (l *latePolls) close() {
	for _, conn := range l.conns {
		conn.close(errInterrupted)
	}
	l.conns = nil
}
