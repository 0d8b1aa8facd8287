package rig

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"io"
	"net/http"
	"regexp"
	"strconv"
	"time"

	"github.com/damasklb/damasklb/internal/fault"
	"github.com/damasklb/damasklb/internal/membership"
	"github.com/damasklb/damasklb/internal/pki"
	"github.com/damasklb/damasklb/internal/platform"
	"github.com/damasklb/damasklb/internal/platform/standin"
	"github.com/damasklb/damasklb/internal/sample"
	"github.com/damasklb/damasklb/internal/wire"
)

const (
	controlTimeout = 2 * time.Second
	readyPoll      = 50 * time.Millisecond
)

// controlClient reads status pages and sets faults. It does not check
// certificates, since only the rig's own processes are asked.
var controlClient = newControlClient(nil)

func newControlClient(certificate *tls.Certificate) *http.Client {
	config := &tls.Config{InsecureSkipVerify: true}
	if certificate != nil {
		config.Certificates = []tls.Certificate{*certificate}
	}
	return &http.Client{Timeout: controlTimeout, Transport: &http.Transport{DisableKeepAlives: true, TLSClientConfig: config}}
}

// operatorClient returns the client for entries, which show their metrics to
// operators only unless they run in dev mode.
func (r *Rig) operatorClient() (*http.Client, error) {
	if !r.opts.TLS {
		return controlClient, nil
	}
	files, err := r.Issue("rig", pki.RoleOperator)
	if err != nil {
		return nil, err
	}
	pair, err := tls.LoadX509KeyPair(files.Cert, files.Key)
	if err != nil {
		return nil, fault.BadCertificate.Wrap(err, "load the rig's certificate")
	}
	return newControlClient(&pair), nil
}

func get(url string) ([]byte, error) { return getWith(controlClient, url) }

func getWith(client *http.Client, url string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), controlTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, fault.Unreachable.Wrap(err, "get %s", url)
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, fault.Unreachable.Wrap(err, "get %s", url)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, fault.Unreachable.Wrap(err, "get %s", url)
	}
	if resp.StatusCode != http.StatusOK {
		return nil, fault.Unreachable.New("get %s: status %d", url, resp.StatusCode)
	}
	return body, nil
}

// WaitReady waits until all entries are ready and know all upstreams, and all
// partitions are settled.
func (r *Rig) WaitReady(limit time.Duration) error {
	if err := r.WaitUpstreams(len(r.Upstreams), limit); err != nil {
		return err
	}
	return r.WaitSettled(len(r.Entries), limit)
}

// WaitSettled waits until the partition map has n members and no takeover is
// open: each owner renews its partition's base after the takeover has ended.
func (r *Rig) WaitSettled(n int, limit time.Duration) error {
	end := time.Now().Add(limit)
	for {
		m, err := r.Map()
		if err == nil && len(m.Members) == n && settled(m) {
			return nil
		}
		if time.Now().After(end) {
			return fault.NotReady.New("the partition map is not settled after %s (%v)", limit, err)
		}
		time.Sleep(readyPoll)
	}
}

func settled(m *membership.Map) bool {
	for p := range m.Partitions {
		if m.NeedsRebase(wire.Partition(p)) {
			return false
		}
	}
	return true
}

// Map reads the partition map.
func (r *Rig) Map() (*membership.Map, error) {
	ctx, cancel := context.WithTimeout(context.Background(), controlTimeout)
	defer cancel()
	row, err := platform.NewHTTPTable("http://"+r.Table.Address, nil).Get(ctx, membership.MapKey)
	if err != nil {
		return nil, err
	}
	return membership.Decode(row.Value)
}

// WaitUpstreams waits until all entries are ready and know n upstreams.
func (r *Rig) WaitUpstreams(n int, limit time.Duration) error {
	for i := range r.Entries {
		if err := r.WaitEntry(i, n, limit); err != nil {
			return err
		}
	}
	return nil
}

// WaitEntry waits until one entry is ready and knows n upstreams.
func (r *Rig) WaitEntry(i, n int, limit time.Duration) error {
	end := time.Now().Add(limit)
	for {
		known, err := r.readyUpstreams(i)
		if err == nil && known == n {
			return nil
		}
		if time.Now().After(end) {
			return fault.NotReady.New("%s knows %d of %d upstreams after %s (%v)", r.Entries[i].Name, known, n, limit, err)
		}
		time.Sleep(readyPoll)
	}
}

func (r *Rig) readyUpstreams(i int) (int, error) {
	url := r.URLs()[i]
	if _, err := get(url + "/readyz"); err != nil {
		return 0, err
	}
	known, err := r.Metric(i, "damasklb_upstreams")
	return int(known), err
}

// Metric returns a metric of an entry.
func (r *Rig) Metric(i int, name string) (float64, error) {
	body, err := getWith(r.operator, r.URLs()[i]+"/metrics")
	if err != nil {
		return 0, err
	}
	return metricIn(body, name)
}

// AgentMetric returns a metric of an agent.
func (r *Rig) AgentMetric(i int, name string) (float64, error) {
	body, err := get("http://" + r.Agents[i].Address + "/metrics")
	if err != nil {
		return 0, err
	}
	return metricIn(body, name)
}

func metricIn(body []byte, name string) (float64, error) {
	found := regexp.MustCompile(`(?m)^` + regexp.QuoteMeta(name) + ` (\S+)$`).FindSubmatch(body)
	if found == nil {
		return 0, fault.NotFound.New("metric %s", name)
	}
	value, err := strconv.ParseFloat(string(found[1]), 64)
	if err != nil {
		return 0, fault.BadResponse.Wrap(err, "metric %s", name)
	}
	return value, nil
}

// SetFaults replaces the faults of the table.
func (r *Rig) SetTableFaults(f standin.Faults) error {
	body, err := json.Marshal(f)
	if err != nil {
		return fault.BadRequest.Wrap(err, "encode faults")
	}
	req, err := http.NewRequest(http.MethodPut, "http://"+r.Table.Address+"/faults", bytes.NewReader(body))
	if err != nil {
		return fault.Unreachable.Wrap(err, "set faults")
	}
	resp, err := controlClient.Do(req)
	if err != nil {
		return fault.Unreachable.Wrap(err, "set faults")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fault.Unreachable.New("set faults: status %d", resp.StatusCode)
	}
	return nil
}

// Starts returns how often each task has started, over all upstreams that run.
func (r *Rig) StartCounts() map[string]int {
	total := map[string]int{}
	for _, p := range r.Upstreams {
		body, err := get("http://" + p.Address + "/starts")
		if err != nil {
			continue // the upstream was killed, and its counts with it
		}
		var starts map[string]int
		if json.Unmarshal(body, &starts) != nil {
			continue
		}
		for id, n := range starts {
			total[id] += n
		}
	}
	return total
}

// StartLog returns when, where and at which epoch each task has started.
func (r *Rig) StartLog() map[string][]sample.StartEvent {
	all := map[string][]sample.StartEvent{}
	for _, p := range r.Upstreams {
		body, err := get("http://" + p.Address + "/starts/log")
		if err != nil {
			continue // the upstream was killed, and its log with it
		}
		var log map[string][]sample.StartEvent
		if json.Unmarshal(body, &log) != nil {
			continue
		}
		for id, starts := range log {
			all[id] = append(all[id], starts...)
		}
	}
	return all
}

// DoubleStarts returns the tasks that started more than once.
func DuplicateStarts(starts map[string]int) []string {
	var double []string
	for id, n := range starts {
		if n > 1 {
			double = append(double, id)
		}
	}
	return double
}

// OwnedBy returns the partitions that the present process of an entry owns.
func (r *Rig) OwnedBy(m *membership.Map, entry int) []wire.Partition {
	var owned []wire.Partition
	for _, member := range m.Members {
		if member.HTTPAddress != r.Entries[entry].Address {
			continue
		}
		for _, pe := range m.Owned(member.ID) {
			owned = append(owned, pe.Partition)
		}
	}
	return owned
}
