package leased

import (
	"encoding/json"
	"net/netip"
	"strings"

	"github.com/damasklb/damasklb/internal/fault"
)

// maxName is the longest name that a row may contain.
const maxName = 200

// rowName returns the part of a row's key that follows the table's name.
func rowName(key, table string) (string, error) {
	name, ok := strings.CutPrefix(key, table+"/")
	if !ok || name == "" || len(name) > maxName {
		return "", fault.BadResponse.New("key names no row of table %s", table)
	}
	return name, nil
}

// decodeRow decodes the value of a row, which may come from another writer.
func decodeRow(value []byte, out any) error {
	if len(value) == 0 {
		return fault.BadResponse.New("value is empty or cannot be read")
	}
	if string(value) == "null" {
		return fault.BadResponse.New("value is null")
	}
	if err := json.Unmarshal(value, out); err != nil {
		return fault.BadResponse.Wrap(err, "value of %d bytes", len(value))
	}
	return nil
}

// decodeHostRow decodes the row of an entry, which names an address that can be dialled.
func decodeHostRow(value []byte) (hostRow, error) {
	var r hostRow
	if err := decodeRow(value, &r); err != nil {
		return hostRow{}, err
	}
	address, err := netip.ParseAddrPort(r.Address)
	if err != nil {
		return hostRow{}, fault.BadResponse.Wrap(err, "address %q", cutKey(r.Address))
	}
	if ip := address.Addr(); address.Port() == 0 || ip.IsUnspecified() || ip.IsMulticast() {
		return hostRow{}, fault.BadResponse.New("address %q cannot be dialled", cutKey(r.Address))
	}
	if len(r.DataCentre) > maxName {
		return hostRow{}, fault.BadResponse.New("name of data centre has %d bytes", len(r.DataCentre))
	}
	return r, nil
}
