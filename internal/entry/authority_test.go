package entry

import (
	"log/slog"
	"testing"
	"time"

	"github.com/damasklb/damasklb/internal/config"
	"github.com/damasklb/damasklb/internal/configstore"
	"github.com/damasklb/damasklb/internal/owner"
	"github.com/damasklb/damasklb/internal/pki"
	"github.com/damasklb/damasklb/internal/platform"
	"github.com/damasklb/damasklb/internal/platform/standin"
)

// Guards against an entry that gives up its authority in an outage of the table
// although the other members could confirm its map: both ends of a link need
// confirmations, not only the one that has dialled.
func TestMembersConfirmEachOtherDuringOutage(t *testing.T) {
	const authority = 1500 * time.Millisecond
	table := standin.NewMemory()
	content, err := config.Default().Encode()
	check(t, err)
	_, err = configstore.New(table).Apply(t.Context(), configstore.Proposal{
		ChangeID: configstore.NewChangeID(), Author: "test", Host: "test", Reason: "test", Content: content,
	})
	check(t, err)
	keys := t.TempDir()
	ca, err := pki.NewAuthority("test")
	check(t, err)
	check(t, ca.Save(keys))
	var entries []*Entry
	for _, host := range []string{"e1", "e2"} {
		files, err := ca.IssueTo(keys, host, pki.RoleEntry, []string{"127.0.0.1"}, time.Hour)
		check(t, err)
		e := startEntry(t, host, files, table, authority)
		defer e.Kill()
		entries = append(entries, e)
	}
	waitFor(t, func() bool {
		return entries[0].Ready() && entries[1].Ready() && entries[0].mapVersion.Load() == entries[1].mapVersion.Load()
	})
	table.SetFaults(standin.Faults{Down: true})
	for end := time.Now().Add(3 * authority); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		for _, e := range entries {
			if !e.Ready() {
				t.Fatalf("%s gave its authority up %s before the end", e.opts.ID, time.Until(end))
			}
		}
	}
}

func startEntry(t *testing.T, host string, files pki.Files, table platform.Table, authority time.Duration) *Entry {
	t.Helper()
	server, err := pki.ServerConfig(files, pki.RoleEntry, pki.RoleAgent)
	check(t, err)
	client, err := pki.ClientConfig(files, pki.RoleEntry)
	check(t, err)
	settings := owner.DefaultSettings()
	settings.AuthorityTimeout = authority
	e, err := Start(Options{
		ID: host, Host: host, DataCentre: "dc", LinkListen: "127.0.0.1:0", HTTPListen: "127.0.0.1:0", Table: table,
		LinkServerTLS: server, LinkClientTLS: client, Dev: true, Settings: settings, Log: slog.New(slog.DiscardHandler),
	})
	check(t, err)
	return e
}

func waitFor(t *testing.T, done func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !done(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the entries were not ready in time")
		}
	}
}

func check(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}
