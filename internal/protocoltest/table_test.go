package protocoltest

import (
	"strings"
	"time"

	"github.com/damasklb/damasklb/internal/platform"
)

const tableTimeout = 2 * time.Second

type row struct {
	value   []byte
	version uint64
}

// table is the platform's table: conditional writes, and faults. A call that
// fails may have taken effect, or may still do so.
type table struct {
	sim  *simulation
	rows map[string]row
	// version is the last version given to a row. A deletion does not reset it, as the
	// interface requires.
	version uint64
	down    bool
	slow    bool
	lossy   bool
}

type write struct {
	key    string
	value  []byte
	delete bool
}

// call runs op at the table and gives its outcome to done on the process.
func (t *table) call(p *process, op func() bool, done func(answered, ok bool)) {
	delay := t.sim.randomBetween(time.Millisecond, 8*time.Millisecond)
	if t.slow && t.sim.chance(50) {
		delay = t.sim.randomBetween(8*time.Millisecond, 4*time.Second)
	}
	lost := t.lossy && t.sim.chance(40)
	finished := false
	finish := func(answered, ok bool) {
		if finished {
			return
		}
		finished = true
		p.post(func() { done(answered, ok) })
	}
	t.sim.after(delay, func() {
		if t.down || !t.sim.reachable(p.host, "table") {
			return
		}
		ok := op()
		if lost {
			return
		}
		t.sim.after(t.sim.randomBetween(time.Millisecond, 8*time.Millisecond), func() { finish(true, ok) })
	})
	t.sim.after(tableTimeout, func() { finish(false, false) })
}

func (t *table) get(p *process, key string, done func(answered bool, r row, found bool)) {
	var r row
	t.call(p, func() bool {
		var found bool
		r, found = t.rows[key]
		return found
	}, func(answered, ok bool) { done(answered, r, ok) })
}

func (t *table) list(p *process, prefix string, done func(answered bool, rows []platform.Row)) {
	var rows []platform.Row
	t.call(p, func() bool {
		for _, key := range sortedKeys(t.rows) {
			if strings.HasPrefix(key, prefix) {
				rows = append(rows, platform.Row{Key: key, Value: t.rows[key].value, Version: t.rows[key].version})
			}
		}
		return true
	}, func(answered, _ bool) { done(answered, rows) })
}

// commit writes if the row key has the given version; with anyVersion, always.
func (t *table) commit(p *process, key string, version uint64, writes []write, done func(answered, ok bool)) {
	t.call(p, func() bool {
		if version != anyVersion && t.rows[key].version != version {
			return false
		}
		t.write(writes)
		return true
	}, done)
}

func (t *table) write(writes []write) {
	for _, wr := range writes {
		t.version++
		if wr.delete {
			delete(t.rows, wr.key)
			continue
		}
		t.rows[wr.key] = row{value: wr.value, version: t.version}
	}
}

const anyVersion = ^uint64(0)
