package clientlimit

import (
	"time"

	"github.com/damasklb/damasklb/internal/fault"
)

// Settings are the limits of all clients of a process together.
type Settings struct {
	// Bytes bounds the memory for requests: what has arrived of unfinished ones, and what whole
	// ones hold until they are answered.
	Bytes int64
	// BodyTimeout is the longest time from the head of a request to the end of its body.
	BodyTimeout time.Duration
	// HeadBytes, HeadTimeout and IdleTimeout apply until a configuration sets other values: the
	// largest head, the longest time for one, and the longest time between two requests.
	HeadBytes   int64
	HeadTimeout time.Duration
	IdleTimeout time.Duration
}

const (
	// requestShare is the part of a process's memory for requests. They take up to twice that while
	// they are decoded and until garbage is collected.
	requestShare = 0.2
	// connectionShare is the part of the memory for connections, connectionBytes what each takes:
	// its goroutines and buffers, and unread bytes up to ReceiveBuffer.
	connectionShare = 0.35
	connectionBytes = 32 << 10
	// descriptorShare is the part of the descriptors that callers' connections may use. The others
	// are for agents, the store, operators and connections that are about to close.
	descriptorShare = 0.75
	// fileDescriptors are the descriptors that are not for sockets.
	fileDescriptors = 200

	// ReceiveBuffer is the size of the kernel's buffer for what a client has sent and the process
	// has not read.
	ReceiveBuffer = 16 << 10
	// ServiceConnections bounds the connections to an address that only one client calls, such as
	// the load balancer's checks.
	ServiceConnections = 64

	// minRetryAfter is the shortest time after which a refused client may come back. Memory becomes
	// free within the time of a few requests.
	minRetryAfter = time.Second

	// MinBytes is the least of Settings.Bytes with which ordinary requests are served.
	MinBytes = 1 << 20
)

// DefaultMemory is the memory of a process for which none is set.
const DefaultMemory = 1 << 30

func memoryOrDefault(memory int64) float64 {
	if memory <= 0 {
		return DefaultMemory
	}
	return float64(memory)
}

// DefaultSettings returns the limits for a process with the given memory; 0 stands for DefaultMemory.
func DefaultSettings(memory int64) Settings {
	return Settings{
		Bytes:       max(int64(requestShare*memoryOrDefault(memory)), MinBytes),
		BodyTimeout: 10 * time.Second,
		HeadBytes:   16 << 10,
		HeadTimeout: 3 * time.Second,
		IdleTimeout: 2 * time.Minute,
	}
}

// DefaultConnections returns the number of callers' connections that a process with the given memory and
// descriptors may have. 0 stands for DefaultMemory, and for descriptors whose number is not known.
func DefaultConnections(memory int64, descriptors int) int {
	most := int(connectionShare * memoryOrDefault(memory) / connectionBytes)
	if descriptors > 0 {
		most = min(most, int(descriptorShare*float64(descriptors-fileDescriptors)))
	}
	return max(most, 1)
}

// RetryAfter returns the time after which a refused client may come back, which differs by the random
// number from 0 to 1, so that clients do not come back together.
func RetryAfter(random float64) time.Duration {
	return minRetryAfter + time.Duration(random*float64(minRetryAfter))
}

// Validate checks the settings.
func (s Settings) Validate() error {
	switch {
	case s.Bytes < MinBytes:
		return fault.BadSettings.New("%d bytes for requests, want at least %d", s.Bytes, MinBytes)
	case s.BodyTimeout <= 0 || s.HeadTimeout <= 0 || s.IdleTimeout <= 0:
		return fault.BadSettings.New("body, head and idle timeouts %s, %s, %s, want more than 0", s.BodyTimeout, s.HeadTimeout, s.IdleTimeout)
	case s.HeadBytes <= 0:
		return fault.BadSettings.New("%d bytes for a head, want more than 0", s.HeadBytes)
	}
	return nil
}
