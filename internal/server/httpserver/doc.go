// Package httpserver is the server of the platform's HTTP/1.1: a POST names the function by its path and the rest of a
// call by header fields.
//
// Job: it parses requests, submits them to the router as calls and writes the final answers. Every complete request gets
// one response, also while its connection is being closed. A request that can't be a call is rejected, and a connection
// whose framing is in doubt is closed. The head of close.go lists the ways in which a connection ends.
//
// State: a client has one request at a time on a connection, so the memory of the server is bounded by its connections, and
// those by the settings. The server's mutex guards the fields of all connections, except for the reader and the arrival
// times of each, which its own parseMu guards. parseMu is locked first.
//
// Callers: internal/httprouter starts and stops the server. netpoll calls onReadable and onClosed of a connection. The
// router's loop calls the methods of router.Client on it. A goroutine of its own writes each response, and one goroutine
// sweeps late and idle connections.
package httpserver
