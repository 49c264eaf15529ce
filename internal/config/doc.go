// Package config reads a gateway's settings, its list of workers, and the files of the gossip between routers: JSON,
// checked against a schema and then for what a schema cannot express. Every error names the path of the wrong value.
package config
