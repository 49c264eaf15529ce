package discovery

import "github.com/topazfront/topazfront/internal/transport/http1"

// lateResponse is the response to a poll that had timed out.
type lateResponse struct {
	message *http1.Message
	query   pollQuery
}

// maxLatePolls is how many polls stay pending after their time-out, until a later one is answered in time. After a time-out
// a silent server can't be told from a slow one. A silent server needs another poll on another connection, and a slow one
// needs more time. With two late polls, a response may take three times as long as a poll's time-out.
const maxLatePolls = 2

// latePolls are the polls that have timed out and may still be answered, the oldest first. Watcher.run owns them; only
// arrived is used by other goroutines.
type latePolls struct {
	conns   []*connection
	arrived chan struct{} // signals, with a buffer of one, that a connection has a result
}

func newLatePolls() *latePolls { return &latePolls{arrived: make(chan struct{}, 1)} }

// add keeps a poll pending. If there are too many, the oldest is abandoned.
func (l *latePolls) add(conn *connection) {
	if len(l.conns) == maxLatePolls {
		l.conns[0].close(errResponseTimeout)
		l.conns = l.conns[1:]
	}
	l.conns = append(l.conns, conn)
	conn.notifyResult(l.arrived)
}

// takeResponses returns the responses that have arrived. Polls that have ended, by a response or an error, are closed and
// removed.
func (l *latePolls) takeResponses() (responses []lateResponse) {
	pending := l.conns[:0:0]
	for _, conn := range l.conns {
		select {
		case result := <-conn.results:
			if result.err == nil {
				responses = append(responses, lateResponse{result.message, conn.query})
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
