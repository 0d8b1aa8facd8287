package transport

import (
	"sync"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
	"github.com/quic-go/quic-go"
)

// Traffic counts what the links of this process have carried since its start. Bytes
// are those of UDP payloads, including retransmissions.
type Traffic struct {
	Links            uint64 `json:"links"`
	MessagesSent     uint64 `json:"messages_sent"`
	MessagesReceived uint64 `json:"messages_received"`
	BytesSent        uint64 `json:"bytes_sent"`
	BytesReceived    uint64 `json:"bytes_received"`
	PacketsSent      uint64 `json:"packets_sent"`
	PacketsReceived  uint64 `json:"packets_received"`
}

func (t *Traffic) add(s quic.ConnectionStats) {
	t.BytesSent += s.BytesSent
	t.BytesReceived += s.BytesReceived
	t.PacketsSent += s.PacketsSent
	t.PacketsReceived += s.PacketsReceived
}

// traffic holds the open links and the sum over those that have closed.
var traffic = struct {
	sync.Mutex
	open     map[*Link]struct{}
	closed   Traffic
	sent     atomic.Uint64
	received atomic.Uint64
}{open: map[*Link]struct{}{}}

func trackLink(l *Link) {
	traffic.Lock()
	defer traffic.Unlock()
	traffic.open[l] = struct{}{}
}

func untrackLink(l *Link) {
	traffic.Lock()
	defer traffic.Unlock()
	if _, ok := traffic.open[l]; !ok {
		return
	}
	delete(traffic.open, l)
	traffic.closed.add(l.conn.ConnectionStats())
}

// ReadTraffic returns the sum over all links of the process.
func ReadTraffic() Traffic {
	traffic.Lock()
	defer traffic.Unlock()
	t := traffic.closed
	for l := range traffic.open {
		t.add(l.conn.ConnectionStats())
	}
	t.Links = uint64(len(traffic.open))
	t.MessagesSent = traffic.sent.Load()
	t.MessagesReceived = traffic.received.Load()
	return t
}

// These gauges allow operators to compare a process with its traffic budget.
var (
	_ = metrics.NewGauge("damasklb_links", func() float64 { return float64(ReadTraffic().Links) })
	_ = metrics.NewGauge(`damasklb_link_bytes{direction="sent"}`, func() float64 { return float64(ReadTraffic().BytesSent) })
	_ = metrics.NewGauge(`damasklb_link_bytes{direction="received"}`, func() float64 { return float64(ReadTraffic().BytesReceived) })
)
