// Package network abstracts the network of a process: TCP in a daemon, an in-memory network in tests with virtual time.
package network

import (
	"context"
	"net"
	"time"
)

// DialFunc opens a connection; it has the signature of net.Dialer.DialContext.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// ListenFunc opens a listener; it has the signature of net.Listen.
type ListenFunc func(network, addr string) (net.Listener, error)

// Network opens connections and listeners.
type Network struct {
	Dial   DialFunc
	Listen ListenFunc
}

// WithTimeout returns a DialFunc that aborts dial after the time d.
func WithTimeout(dial DialFunc, d time.Duration) DialFunc {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, d)
		defer cancel()
		return dial(ctx, network, addr)
	}
}
