// Package respupstream sends requests to workers over the platform's protocol: each message is a RESP array of bulk
// strings, one connection carries many requests at a time, and responses arrive in any order.
//
// A Pool sends attempts, load commands and health checks to the workers that its caller chooses. It derives the
// result of each from what was seen on the connection (the table in evidence.go). Each is checked again when its
// first byte is written, because the worker may have been removed, the deadline may have passed or the client may
// have disconnected since it was queued.
//
// A Pool owns its workers, connections and exchanges, and guards all of them with one mutex. Nothing blocks and no
// callback runs while the mutex is held: functions that need the lock return callbacks, which their callers run after
// unlocking.
//
// A Pool is used by these goroutines: the router's loop, which calls the methods of router.Upstream; one
// goroutine per connection, which reads it (package socket); one goroutine per connect; one per connection that is being
// written to; and the sweep.
package respupstream
