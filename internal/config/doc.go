// Package config reads a gateway's settings, its worker list, and the members and key files of the gossip between
// routers. JSON files are validated against a schema and then against rules that a schema cannot express. Each problem
// found in a JSON file is reported with the path of the invalid value.
package config
