package agent

import (
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"

	"github.com/VictoriaMetrics/metrics"

	"github.com/damasklb/damasklb/internal/fault"
	"github.com/damasklb/damasklb/internal/ledger"
)

// Limits of announcements. Names are sent with each message about the upstream.
const (
	maxAnnounceBytes = 64 << 10
	maxSlots         = 4096
	maxClasses       = 256
	maxNameBytes     = 256
	maxAddressBytes  = 2048
	maxPort          = 1<<16 - 1
)

var refusedAnnouncements = metrics.NewCounter("damasklb_agent_announcements_refused_total")

// Announcement is the body of POST /v1/announce. An upstream sends it every second.
type Announcement struct {
	Service string   `json:"service"`
	Site    string   `json:"site"`
	Classes []string `json:"classes"`
	// Address is the URL that tasks are posted to.
	Address string `json:"address"`
	// Slots is the number of tasks that the upstream runs at a time.
	Slots int `json:"slots"`
}

func (a *Agent) postAnnounce(w http.ResponseWriter, r *http.Request) {
	m, err := parseAnnouncement(http.MaxBytesReader(w, r.Body, maxAnnounceBytes))
	if err != nil {
		refusedAnnouncements.Inc()
		a.invalid.Check("announcement", m.Service, err)
		http.Error(w, fault.Text(err), http.StatusBadRequest)
		return
	}
	if !a.registered.Load() {
		http.Error(w, "the agent is not registered in the table yet", http.StatusServiceUnavailable)
		return
	}
	info := ledger.Upstream{Service: m.Service, Site: m.Site, Classes: m.Classes, Address: m.Address, Slots: m.Slots}
	a.post(func(now ledger.Instant) { a.core.Announce(now, info) })
	w.WriteHeader(http.StatusNoContent)
}

// parseAnnouncement reads and checks the body of an announcement. With an error it returns
// what it has read, to name the upstream.
func parseAnnouncement(r io.Reader) (Announcement, error) {
	var m Announcement
	if err := json.NewDecoder(r).Decode(&m); err != nil {
		return m, fault.BadRequest.New("the announce is not valid JSON: %v", err)
	}
	return m, m.validate()
}

func (m *Announcement) validate() error {
	switch {
	case m.Service == "" || len(m.Service) > maxNameBytes:
		return fault.BadRequest.New("service has %d bytes, allowed are 1 to %d", len(m.Service), maxNameBytes)
	case m.Site == "" || len(m.Site) > maxNameBytes:
		return fault.BadRequest.New("site has %d bytes, allowed are 1 to %d", len(m.Site), maxNameBytes)
	case len(m.Classes) == 0 || len(m.Classes) > maxClasses:
		return fault.BadRequest.New("classes has %d names, allowed are 1 to %d", len(m.Classes), maxClasses)
	case m.Slots < 1 || m.Slots > maxSlots:
		return fault.BadRequest.New("slots is %d, allowed are 1 to %d", m.Slots, maxSlots)
	}
	for _, class := range m.Classes {
		if class == "" || len(class) > maxNameBytes {
			return fault.BadRequest.New("the name of a class has %d bytes, allowed are 1 to %d", len(class), maxNameBytes)
		}
	}
	return checkAddress(m.Address)
}

// checkAddress refuses an address to which no task can be posted.
func checkAddress(address string) error {
	if len(address) > maxAddressBytes {
		return fault.BadRequest.New("address has %d bytes, allowed are 1 to %d", len(address), maxAddressBytes)
	}
	u, err := url.Parse(address)
	if err != nil || u.Scheme != "http" || u.Hostname() == "" {
		return fault.BadRequest.New("address %q is not an http URL with a host", address)
	}
	if port := u.Port(); port != "" {
		if n, err := strconv.Atoi(port); err != nil || n < 1 || n > maxPort {
			return fault.BadRequest.New("port %s of the address is out of range, allowed are 1 to %d", port, maxPort)
		}
	}
	return nil
}

func (a *Agent) postLeave(w http.ResponseWriter, r *http.Request) {
	service, err := parseLeave(http.MaxBytesReader(w, r.Body, maxAnnounceBytes))
	if err != nil {
		http.Error(w, fault.Text(err), http.StatusBadRequest)
		return
	}
	if service == "" {
		a.Drain()
	} else {
		a.post(func(ledger.Instant) { a.core.UpstreamLeaving(service) })
	}
	w.WriteHeader(http.StatusAccepted)
}

// parseLeave returns the service that leaves, which is empty for the whole agent. A body
// with other content but no service is refused, because a drain cannot be undone.
func parseLeave(r io.Reader) (string, error) {
	var m map[string]json.RawMessage
	err := json.NewDecoder(r).Decode(&m)
	if err == io.EOF {
		return "", nil
	}
	var service *string
	value, named := m["service"]
	if err == nil && named {
		err = json.Unmarshal(value, &service)
	}
	if err != nil || m == nil || service == nil && len(m) > 0 {
		return "", fault.BadRequest.New("the request must be empty or {\"service\": NAME}")
	}
	if service == nil {
		return "", nil
	}
	return *service, nil
}
