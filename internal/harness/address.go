package harness

import (
	"fmt"
	"net"
	"os"
	"strconv"
	"sync/atomic"

	"github.com/pkg/errors"
)

// Ports of the processes under test. Each process has its own loopback address,
// so that it can be restarted at the same address: in the meantime no outgoing
// connection of another process can occupy one of its ports.
const (
	apiPort          = 7400
	peerPort         = 7401
	adminPort        = 7402
	standinPort      = 7500
	standinAdminPort = 7501
)

const (
	// loopbackAddresses is the maximum number of addresses to try, in the range
	// from 127.1.1.1 to 127.254.254.254.
	loopbackAddresses = 254 * 254 * 254
	// loopbackStride separates the address ranges of test processes that run at
	// the same time. It is multiplied by the process id.
	loopbackStride = 997
)

// loopbacksTried counts the addresses that this test process has tried.
var loopbacksTried atomic.Int64

// FreeAddresses returns one loopback address combined with each of the ports, in
// their order. All of the ports were free when they were checked.
func FreeAddresses(ports ...int) ([]string, error) {
	for range loopbackAddresses {
		n := int(loopbacksTried.Add(1)) + os.Getpid()*loopbackStride
		ip := fmt.Sprintf("127.%d.%d.%d", 1+n/254/254%254, 1+n/254%254, 1+n%254)
		if addresses := addressesIfFree(ip, ports); addresses != nil {
			return addresses, nil
		}
	}
	return nil, errors.New("no free loopback address")
}

// addressesIfFree returns the addresses if every port of ip is free, otherwise
// nil.
func addressesIfFree(ip string, ports []int) []string {
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
