package network

import (
	"context"
	"net"
)

// ResetOnClose returns a DialFunc whose TCP connections are reset when they are closed, also by the end of the process. The kernel then
// discards bytes that it has not delivered yet; otherwise it goes on sending them. Bytes that the peer's kernel has received stay readable
// there.
func ResetOnClose(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		if tcp, ok := c.(*net.TCPConn); ok && err == nil {
			// Ignore the error: without the option the connection works, too.
			_ = tcp.SetLinger(0)
		}
		return c, err
	}
}
