// Package overloader tests the processes of the system against clients that hold memory,
// connections and descriptors without letting their requests end.
//
// Each test starts processes of the built binary on loopback, opens a crowd, which is a fixed
// number of such clients, and leaves it open. It then checks that the process lives, that its peak
// memory and its open descriptors are within what its settings give it, and that an ordinary
// request is answered. It checks no times and no shares of served requests. The binary is built
// without the race detector, whose memory would be counted otherwise.
package overloader
