package rig

import (
	"fmt"
	"math/rand/v2"
	"net"

	"github.com/damasklb/damasklb/internal/fault"
)

// Ports are chosen below the kernel's ephemeral range, so that no outgoing
// connection takes the port of a process before it is restarted there.
const (
	firstPort    = 12000
	portCount    = 18000
	portAttempts = 100
)

// FreeAddress returns a loopback address that is free for TCP and UDP now and
// whose port is below the kernel's ephemeral range.
func FreeAddress() (string, error) { return newPorts().next() }

// ports allocates loopback addresses that are free for TCP and UDP, each once.
type ports struct{ used map[int]bool }

func newPorts() *ports { return &ports{used: map[int]bool{}} }

func (p *ports) next() (string, error) {
	for range portAttempts {
		port := firstPort + rand.IntN(portCount)
		if p.used[port] {
			continue
		}
		p.used[port] = true
		address := fmt.Sprintf("%s:%d", loopback, port)
		if isFree(address) {
			return address, nil
		}
	}
	return "", fault.Listen.New("no free port in %d attempts from port %d", portAttempts, firstPort)
}

func isFree(address string) bool {
	tcp, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	defer tcp.Close()
	udp, err := net.ListenPacket("udp", address)
	if err != nil {
		return false
	}
	defer udp.Close()
	return true
}
