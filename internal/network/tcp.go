package network

import (
	"net"
	"syscall"
	"time"
)

const (
	// tcpUserTimeout is Linux's TCP_USER_TIMEOUT socket option, which the syscall package does not define.
	tcpUserTimeout = 18
	// unackedTimeout is how long sent data may stay unacknowledged before the kernel closes the connection. The kernel's
	// default is about 15 minutes.
	unackedTimeout = 3 * time.Second

	keepaliveIdle     = time.Second
	keepaliveInterval = time.Second
	keepaliveProbes   = 3
)

// TCP returns the operating system's TCP network. If all packets of a connection are lost, the connection fails within a
// few seconds, even while it is idle.
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
		// Ignore the error: the option only shortens failure detection, so a system without it works too.
		_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(unackedTimeout.Milliseconds()))
	})
}
