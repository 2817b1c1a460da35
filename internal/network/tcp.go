package network

import (
	"net"
	"syscall"
	"time"
)

const (
	// tcpUserTimeout is Linux's TCP_USER_TIMEOUT, which the syscall package does not name.
	tcpUserTimeout = 18
	// unackedTimeout is how long sent data may stay unacknowledged before the connection breaks. The kernel's own limit
	// is about 15 minutes.
	unackedTimeout = 3 * time.Second

	keepaliveIdle     = time.Second
	keepaliveInterval = time.Second
	keepaliveProbes   = 3
)

// TCP is the network of the operating system. A connection whose packets vanish breaks within a few seconds, also while
// it is idle.
func TCP() Network {
	d := &net.Dialer{
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepaliveIdle, Interval: keepaliveInterval, Count: keepaliveProbes,
		},
		Control: setUserTimeout,
	}
	return Network{Dial: d.DialContext, Listen: net.Listen}
}

func setUserTimeout(_, _ string, c syscall.RawConn) error {
	return c.Control(func(fd uintptr) {
		// The option only shortens the detection, so a system without it works as well.
		_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(unackedTimeout.Milliseconds()))
	})
}
