package entry

import (
	"net"
	"strconv"
	"unicode/utf8"

	"github.com/damasklb/damasklb/internal/fault"
	"github.com/damasklb/damasklb/internal/membership"
	"github.com/damasklb/damasklb/internal/platform"
)

const (
	// maxNameBytes bounds names that are published in the map.
	maxNameBytes = 256
	maxPort      = 1<<16 - 1
)

// check refuses options that the map must not hold.
func (o *Options) check() error {
	for _, name := range []struct{ option, value string }{{"id", o.ID}, {"host", o.Host}, {"data centre", o.DataCentre}} {
		if len(name.value) > maxNameBytes || !utf8.ValidString(name.value) {
			return fault.BadSettings.New("%s: allowed are at most %d bytes of UTF-8", name.option, maxNameBytes)
		}
	}
	if o.ID == "" {
		return fault.BadSettings.New("id: allowed are 1 to %d bytes", maxNameBytes)
	}
	if err := checkPublished("link address", o.LinkAddress); err != nil {
		return err
	}
	return checkPublished("HTTP address", o.HTTPAddress)
}

// checkPublished refuses an address that others cannot dial. An empty one stands for the
// bound address.
func checkPublished(option, address string) error {
	if address == "" {
		return nil
	}
	host, port, err := net.SplitHostPort(address)
	n, numberErr := strconv.Atoi(port)
	if err != nil || numberErr != nil || host == "" || len(host) > maxNameBytes || n < 1 || n > maxPort {
		return fault.BadSettings.New("%s %.80q: allowed are a host and a port from 1 to %d, such as 10.0.0.1:7400", option, address, maxPort)
	}
	return nil
}

// mapWrite returns the write of a map, unless processes would refuse it.
func mapWrite(m *membership.Map) (platform.Write, error) {
	row := m.Encode()
	if _, err := membership.Decode(row); err != nil {
		return platform.Write{}, err
	}
	return platform.Write{Key: membership.MapKey, Value: row}, nil
}
