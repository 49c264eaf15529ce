// Package fakeplatform has fakes of the components of the users' platform: workers, whose messages are RESP arrays of
// bulk strings, the HTTP discovery server, and clients. They use only the standard library, so that they share no
// parser with the code under test, and they record what they send and receive at their own ends of the sockets.
package fakeplatform
