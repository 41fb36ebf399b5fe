package transport

import "net"

// CountBytes wraps c so that every Read calls read and every Write calls written
// with the number of bytes transferred.
func CountBytes(c net.Conn, read, written func(bytes int)) net.Conn {
	return &countingConn{Conn: c, read: read, written: written}
}

// countingConn reports the bytes of each Read and Write.
type countingConn struct {
	net.Conn
	read, written func(int)
}

func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.read(n)
	return n, err
}

func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.written(n)
	return n, err
}
