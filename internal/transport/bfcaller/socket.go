package bfcaller

import (
	"net"
	"syscall"
)

// ControlSocket calls a function with the socket of a connection, which may be wrapped. Hidden
// is true for a connection without a socket. An error means that the socket was closed.
func ControlSocket(c net.Conn, f func(fd int)) (hidden bool, err error) {
	for {
		wrapper, ok := c.(interface{ NetConn() net.Conn })
		if !ok {
			break
		}
		c = wrapper.NetConn()
	}
	socket, ok := c.(syscall.Conn)
	if !ok {
		return true, nil
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false, err
	}
	return false, raw.Control(func(fd uintptr) { f(int(fd)) })
}
