// Package respupstream sends requests to workers over the platform's protocol: arrays of bulk strings of RESP, many
// requests on one connection, responses in any order.
//
// Job: it starts attempts, load commands and health checks, and classifies how each ended by what was seen on the
// connection (the table in evidence.go). Each is checked again when its first byte is written, because the worker, the
// deadline or the client may have gone since it was queued. The package does not choose workers.
//
// State: a Pool owns workers, connections and exchanges, all under one mutex. Nothing blocks and no callback runs while it
// is held: functions that need the lock return callbacks, which their callers run after they have released it.
//
// Callers: the router's loop, by the methods of router.Upstream; netpoll's goroutines, when bytes arrive or a connection
// ends; a goroutine for each connect and for each connection that is being written; and one that sweeps.
package respupstream
