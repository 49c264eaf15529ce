// Package httprouter runs one router process on one small machine of the platform. The router accepts HTTP/1.1 requests
// from clients and forwards them to workers over RESP.
//
// The package builds the HTTP server, the router's loop, the RESP upstream and the endpoint watcher from a
// configuration file. SIGHUP reloads the file; only the discovery server's address may change. SIGTERM shuts the
// process down in phases, each with a time limit. All limits on memory and descriptors come from the file. Those that
// the Go runtime and the operating system enforce are set before the first socket is opened.
//
// A Server owns its parts and starts and stops them in order. Each part owns its own state. The package itself makes no
// decisions about calls.
//
// `topazfront node` calls Run. Tests call Start, Shutdown and Close.
package httprouter
