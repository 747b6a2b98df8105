// Package dialer checks what a host answers to a connection attempt.
package dialer

import (
	"context"
	"errors"
	"net"
	"syscall"
)

// Refuses reports whether the host at an address, IP:port, refuses a connection before ctx
// ends, so that no process listens there. A host that does not answer does not refuse.
func Refuses(ctx context.Context, address string) bool {
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	// Nothing was sent, so there is nothing to lose.
	_ = c.Close()
	return false
}
