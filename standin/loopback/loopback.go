package loopback

import (
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"

	"github.com/rotisserie/eris"
)

const (
	// firstNetwork and lastNetwork are the second octets of the networks that processes may claim.
	firstNetwork = 100
	lastNetwork  = 249
	// claimPort is the port on the first address of a network whose listener claims it.
	claimPort = 7000
	// port is the port of all addresses that Address returns.
	port = 7001
	// hostsPerSubnet is the number of hosts with the same third octet.
	hostsPerSubnet = 250
	// maximumHosts is the number of hosts of one network.
	maximumHosts = 250 * hostsPerSubnet
)

// network is the network of this process.
type network struct {
	octet int
	// claim is open until the process ends, so that no other process claims the network.
	claim net.Listener
	hosts atomic.Int32
}

// own claims the network of this process at its first use.
var own = sync.OnceValues(claimNetwork)

// claimNetwork claims the first network that no other process has, and of whose former owner no socket is left.
func claimNetwork() (*network, error) {
	for octet := firstNetwork; octet <= lastNetwork; octet++ {
		l, err := net.Listen("tcp", fmt.Sprintf("127.%d.0.1:%d", octet, claimPort))
		if err != nil {
			continue
		}
		inUse, err := isInUse(octet)
		if err == nil && !inUse {
			return &network{octet: octet, claim: l}, nil
		}
		if err := errors.Join(err, l.Close()); err != nil {
			return nil, eris.Wrapf(err, "claim the loopback network 127.%d", octet)
		}
	}
	return nil, eris.New("other processes use all loopback networks")
}

// Host returns an IP address that no other call returns, in this process or in any other that runs. It panics if the
// addresses are used up.
func Host() string {
	n, err := own()
	if err != nil {
		panic(err)
	}
	i := int(n.hosts.Add(1))
	if i > maximumHosts {
		panic("the addresses of the loopback network are used up")
	}
	return fmt.Sprintf("127.%d.%d.%d", n.octet, 1+i/hostsPerSubnet, 1+i%hostsPerSubnet)
}

// Address returns a host as Host does, with a port.
func Address() string { return fmt.Sprintf("%s:%d", Host(), port) }
