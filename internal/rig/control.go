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
	controlTimeout    = 2 * time.Second
	readyPollInterval = 50 * time.Millisecond
)

// controlClient reads status pages and sets the table's faults. It verifies no
// certificates, since it connects to the rig's own processes only.
var controlClient = newControlClient(nil)

func newControlClient(certificate *tls.Certificate) *http.Client {
	config := &tls.Config{InsecureSkipVerify: true}
	if certificate != nil {
		config.Certificates = []tls.Certificate{*certificate}
	}
	return &http.Client{Timeout: controlTimeout, Transport: &http.Transport{DisableKeepAlives: true, TLSClientConfig: config}}
}

// operatorClient returns the client for entries, which serve their metrics to
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

// WaitReady waits until all entries are ready, each of them lists all upstreams
// and no takeover is open.
func (r *Rig) WaitReady(limit time.Duration) error {
	if err := r.WaitUpstreams(len(r.Upstreams), limit); err != nil {
		return err
	}
	return r.WaitTakeoversDone(len(r.Entries), limit)
}

// WaitTakeoversDone waits until the partition map has n members and no takeover
// is open: each owner renews its partition's base after the takeover has ended.
func (r *Rig) WaitTakeoversDone(n int, limit time.Duration) error {
	end := time.Now().Add(limit)
	for {
		m, err := r.Map()
		if err == nil && len(m.Members) == n && takeoversDone(m) {
			return nil
		}
		if time.Now().After(end) {
			return fault.NotReady.New("partition map still has an open takeover or a wrong number of members after %s (%v)", limit, err)
		}
		time.Sleep(readyPollInterval)
	}
}

func takeoversDone(m *membership.Map) bool {
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

// WaitUpstreams waits until all entries are ready and list n upstreams each.
func (r *Rig) WaitUpstreams(n int, limit time.Duration) error {
	for i := range r.Entries {
		if err := r.WaitEntry(i, n, limit); err != nil {
			return err
		}
	}
	return nil
}

// WaitEntry waits until one entry is ready and lists n upstreams.
func (r *Rig) WaitEntry(i, n int, limit time.Duration) error {
	end := time.Now().Add(limit)
	for {
		count, err := r.upstreamsIfReady(i)
		if err == nil && count == n {
			return nil
		}
		if time.Now().After(end) {
			return fault.NotReady.New("%s lists %d of %d upstreams after %s (%v)", r.Entries[i].Name, count, n, limit, err)
		}
		time.Sleep(readyPollInterval)
	}
}

// upstreamsIfReady returns the number of upstreams that an entry lists, or an
// error if the entry is not ready.
func (r *Rig) upstreamsIfReady(i int) (int, error) {
	url := r.URLs()[i]
	if _, err := get(url + "/readyz"); err != nil {
		return 0, err
	}
	count, err := r.Metric(i, "damasklb_upstreams")
	return int(count), err
}

// Metric returns a metric of an entry.
func (r *Rig) Metric(i int, name string) (float64, error) {
	body, err := getWith(r.operator, r.URLs()[i]+"/metrics")
	if err != nil {
		return 0, err
	}
	return parseMetric(body, name)
}

// AgentMetric returns a metric of an agent.
func (r *Rig) AgentMetric(i int, name string) (float64, error) {
	body, err := get("http://" + r.Agents[i].Address + "/metrics")
	if err != nil {
		return 0, err
	}
	return parseMetric(body, name)
}

func parseMetric(body []byte, name string) (float64, error) {
	match := regexp.MustCompile(`(?m)^` + regexp.QuoteMeta(name) + ` (\S+)$`).FindSubmatch(body)
	if match == nil {
		return 0, fault.NotFound.New("metric %s", name)
	}
	value, err := strconv.ParseFloat(string(match[1]), 64)
	if err != nil {
		return 0, fault.BadResponse.Wrap(err, "metric %s", name)
	}
	return value, nil
}

// SetTableFaults replaces the faults that the table injects into its answers.
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

// StartCounts returns how often each task has started, summed over all running
// upstreams.
func (r *Rig) StartCounts() map[string]int {
	total := map[string]int{}
	for _, p := range r.Upstreams {
		body, err := get("http://" + p.Address + "/starts")
		if err != nil {
			continue // the upstream was killed, its counts are lost
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
			continue // the upstream was killed, its log is lost
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

// DuplicateStarts returns the tasks that started more than once.
func DuplicateStarts(starts map[string]int) []string {
	var duplicates []string
	for id, n := range starts {
		if n > 1 {
			duplicates = append(duplicates, id)
		}
	}
	return duplicates
}

// OwnedBy returns the partitions that the running process of an entry owns.
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
