// Package fakeplatform has fakes of the parties of the users' platform: workers, which speak arrays of bulk strings, the
// discovery server, and clients. They are built on the standard library alone, so that they share no parser with the
// code under test, and they record what they see at their own ends of the sockets.
package fakeplatform
