package transport

import "net"

// CountBytes returns a connection that reports how many bytes were read and
// written, at each read and write.
func CountBytes(c net.Conn, read, written func(bytes int)) net.Conn {
	return &countedConn{Conn: c, read: read, written: written}
}

type countedConn struct {
	net.Conn
	read, written func(int)
}

func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.read(n)
	return n, err
}

func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.written(n)
	return n, err
}
