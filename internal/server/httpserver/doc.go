// Package httpserver serves the platform's HTTP/1.1 protocol to clients. A call is a POST request: its path names the
// function, and its header fields hold the other parameters.
//
// The server parses requests, submits them to the router as calls and writes the final answers. Every complete request
// gets exactly one response, also while its connection is being closed. A request that isn't a valid call is rejected,
// and a connection with invalid HTTP framing is closed. The comment at the head of close.go lists the ways in which a
// connection ends.
//
// The server handles one request at a time on each connection, so its memory is bounded by the number of connections,
// which the settings limit. The server's mutex guards the fields of all connections, except for the reader and the
// arrival times, which the connection's parseMu guards. parseMu is locked before the server's mutex.
//
// internal/httprouter starts and stops the server. Package socket calls Received and Closed of a connection, on one goroutine each. The router's
// loop calls the methods of router.Client on a connection. Each response is written by a separate goroutine, and one
// goroutine closes late and idle connections.
package httpserver
