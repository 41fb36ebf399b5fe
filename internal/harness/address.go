package harness

import (
	"fmt"
	"net"
	"os"
	"strconv"
	"sync/atomic"

	"github.com/pkg/errors"
)

// Ports of processes. Each process has a loopback address of its own, so that
// it can be started again under the same address: no outgoing connection of
// another process takes such a port in the meantime.
const (
	apiPort     = 7400
	peerPort    = 7401
	adminPort   = 7402
	standinPort = 7500
	switchPort  = 7501
)

const (
	// loopbacks is the number of addresses that are tried, of 127.1.0.1 to
	// 127.254.254.254.
	loopbacks = 254 * 254 * 254
	// loopbackStride spreads the addresses of different test processes.
	loopbackStride = 997
)

// loopbackCount is the number of addresses that were tried.
var loopbackCount atomic.Int64

// FreeAddresses returns one loopback address with each of the ports, all of
// which were free just now.
func FreeAddresses(ports ...int) ([]string, error) {
	for range loopbacks {
		n := int(loopbackCount.Add(1)) + os.Getpid()*loopbackStride
		ip := fmt.Sprintf("127.%d.%d.%d", 1+n/254/254%254, 1+n/254%254, 1+n%254)
		if addresses := tryAddress(ip, ports); addresses != nil {
			return addresses, nil
		}
	}
	return nil, errors.New("no free loopback address")
}

// tryAddress returns the addresses if every port of ip is free, else nil.
func tryAddress(ip string, ports []int) []string {
	var out []string
	for _, port := range ports {
		address := net.JoinHostPort(ip, strconv.Itoa(port))
		l, err := net.Listen("tcp", address)
		if err != nil {
			return nil
		}
		_ = l.Close()
		out = append(out, address)
	}
	return out
}
