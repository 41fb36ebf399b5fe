package intake

import (
	"context"
	"net"
	"syscall"
)

// Sizes of the kernel's buffers of a client's connection. What waits there
// counts as memory of the machine, too. The kernel doubles them.
const (
	receiveBuffer = 32 << 10
	sendBuffer    = 16 << 10
)

// Listen listens for clients, with small buffers in the kernel for each
// connection.
func Listen(address string) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			// Without them the buffers have the kernel's own sizes.
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF, sendBuffer)
		})
	}}
	return config.Listen(context.Background(), "tcp", address)
}
