// Command inforce measures the time from the acceptance of a configuration
// change until it is in force on every process, with separate processes on
// loopback. In a second part the table goes down right after each acceptance.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/damasklb/damasklb/internal/config"
	"github.com/damasklb/damasklb/internal/configstore"
	"github.com/damasklb/damasklb/internal/fault"
	"github.com/damasklb/damasklb/internal/platform"
	"github.com/damasklb/damasklb/internal/rig"
	"github.com/damasklb/damasklb/internal/status"
)

// bound is the time within which a change must be in force everywhere.
const bound = 18 * time.Second

// Modes of a measurement.
const (
	modePoll = "found by polling"
	modePush = "pushed to one entry"
	modeDown = "pushed, table down after acceptance"
)

type bench struct {
	rig    *rig.Rig
	store  *configstore.Store
	client *http.Client
	number int
}

func main() {
	rig.Main()
	changes := flag.Int("changes", 30, "changes in each part")
	pause := flag.Duration("pause", 300*time.Millisecond, "time between changes; 2,300 a day are one in 37 s")
	flag.Parse()
	if err := run(*changes, *pause); err != nil {
		fmt.Fprintf(os.Stderr, "inforce: %s\n", fault.Text(err))
		os.Exit(1)
	}
}

func run(changes int, pause time.Duration) error {
	r, err := rig.Start(rig.DefaultOptions())
	if err != nil {
		return err
	}
	defer r.Close()
	table := platform.NewHTTPTable("http://"+r.Table.Address, nil)
	b := &bench{rig: r, store: configstore.New(table), client: &http.Client{Timeout: 5 * time.Second}}
	for _, mode := range []string{modePoll, modePush, modeDown} {
		if err := b.measure(mode, changes, pause); err != nil {
			return err
		}
	}
	return nil
}

// measure makes changes one after another and prints the distribution.
func (b *bench) measure(mode string, changes int, pause time.Duration) error {
	times := hdrhistogram.New(1, bound.Microseconds()*4, 3)
	late := 0
	for range changes {
		took, err := b.change(mode)
		if err != nil {
			return err
		}
		if took > bound {
			late++
		}
		if err := times.RecordValue(took.Microseconds()); err != nil {
			return fault.Internal.Wrap(err, "record %s", took)
		}
		time.Sleep(pause)
	}
	ms := func(q float64) float64 { return float64(times.ValueAtQuantile(q)) / 1000 }
	fmt.Printf("%-36s %d changes, %d entries, %d agents: p50 %.0f ms, p90 %.0f ms, p99 %.0f ms, max %.0f ms, over %s: %d\n",
		mode, changes, len(b.rig.Entries), len(b.rig.Agents), ms(50), ms(90), ms(99), float64(times.Max())/1000, bound, late)
	return nil
}

// change accepts one change and returns the time until all processes have it.
func (b *bench) change(mode string) (time.Duration, error) {
	content, err := b.nextContent()
	if err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), 2*bound)
	defer cancel()
	head, err := b.store.Head(ctx)
	if err != nil {
		return 0, err
	}
	audit, err := b.store.Apply(ctx, configstore.Proposal{
		ChangeID: configstore.NewChangeID(), BaseVersion: head.Version, Author: "bench", Host: "bench", Reason: mode, Content: content,
	})
	if err != nil {
		return 0, err
	}
	accepted := time.Now()
	if mode == modeDown {
		if err := b.post(http.MethodPut, "http://"+b.rig.Table.Address+"/faults", []byte(`{"down":true}`)); err != nil {
			return 0, err
		}
		defer func() {
			// The next change fails if the table stays down.
			_ = b.post(http.MethodPut, "http://"+b.rig.Table.Address+"/faults", []byte(`{}`))
		}()
	}
	if mode != modePoll {
		push, err := json.Marshal(status.ConfigPushRequest{Version: audit.Version, Content: content})
		if err != nil {
			return 0, fault.Internal.Wrap(err, "encode push")
		}
		if err := b.post(http.MethodPost, b.rig.URLs()[0]+status.ConfigPath, push); err != nil {
			return 0, err
		}
	}
	return b.await(accepted, audit.Version)
}

// nextContent is the default configuration with another weight each time.
func (b *bench) nextContent() ([]byte, error) {
	b.number++
	c := config.Default()
	any := c.Callers[config.AnyCaller]
	any.Weight = 1 + float64(b.number)/1000
	c.Callers[config.AnyCaller] = any
	return c.Encode()
}

func (b *bench) post(method, url string, body []byte) error {
	req, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return fault.Usage.Wrap(err, "%s", url)
	}
	resp, err := b.client.Do(req)
	if err != nil {
		return fault.Unreachable.Wrap(err, "%s", url)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fault.JobRefused.New("%s: status %d", url, resp.StatusCode)
	}
	return nil
}

// await polls the status until every entry and agent has the version.
func (b *bench) await(accepted time.Time, version uint64) (time.Duration, error) {
	want := len(b.rig.Entries) + len(b.rig.Agents)
	for time.Since(accepted) < 2*bound {
		report, err := b.status()
		if err != nil {
			return 0, err
		}
		if have, all := report.InForce(version); have == all && all == want {
			return time.Since(accepted), nil
		}
		time.Sleep(5 * time.Millisecond)
	}
	return 2 * bound, nil
}

func (b *bench) status() (status.Report, error) {
	var report status.Report
	resp, err := b.client.Get(b.rig.URLs()[0] + status.StatusPath)
	if err != nil {
		return report, fault.Unreachable.Wrap(err, "status")
	}
	defer resp.Body.Close()
	if err := json.NewDecoder(resp.Body).Decode(&report); err != nil {
		return report, fault.BadResponse.Wrap(err, "status")
	}
	return report, nil
}
