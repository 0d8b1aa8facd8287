package owner

import (
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/damasklb/damasklb/internal/dispatch"
	"github.com/damasklb/damasklb/internal/membership"
	"github.com/damasklb/damasklb/internal/wire"
)

// malformedValues are values that another writer may leave in a row.
var malformedValues = map[string]string{
	"empty": "", "null": "null", "list": "[]", "string": `"w1"`, "object": "{}", "cut": `{"host":`,
	"wrong type": `{"host":7,"incarnation":"i"}`, "negative": `{"host":"w1","incarnation":-1}`,
	"large number": `{"host":"w1","incarnation":1e999}`, "left of wrong type": `{"host":"w1","incarnation":"i","left":"yes"}`,
	"other host": `{"host":"w2","incarnation":"i"}`, "no incarnation": `{"host":"w1"}`,
	"deep": strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000), "deep and cut": strings.Repeat(`{"a":`, 20_000),
	"long name": `{"host":"` + strings.Repeat("w", 64<<10) + `","incarnation":"i"}`,
}

// takeoverCore returns the core of an entry that has taken all partitions over from an
// entry that has stopped, and the id with which it lists the agents.
func takeoverCore(t *testing.T) (*Core, uint64) {
	t.Helper()
	self := membership.Member{ID: "e1", Host: "e1"}
	c := New(self, DefaultSettings(), dispatch.New(rand.NewPCG(1, 1)), 0)
	m := membership.Next(nil, membership.Change{Add: []membership.Member{{ID: "e2", Host: "e2"}}})
	m = membership.Next(m, membership.Change{Add: []membership.Member{self}, Remove: []string{"e2"}})
	c.MapRead(0, 0, m)
	for _, effect := range c.TakeEffects() {
		if list, ok := effect.(ListAgents); ok && list.Takeover != 0 {
			return c, list.Takeover
		}
	}
	t.Fatal("the takeover lists no agents")
	return nil, 0
}

// Guards against a takeover that starts tasks again because the row of a running agent
// is invalid: it would pass for a host without an agent.
func TestMalformedAgentRowDoesNotCompleteATakeover(t *testing.T) {
	for name, value := range malformedValues {
		c, takeover := takeoverCore(t)
		sound := `{"host":"w2","incarnation":"i2"}`
		rows := []AgentRow{DecodeAgentRow(AgentKeyPrefix+"w1", []byte(value)), DecodeAgentRow(AgentKeyPrefix+"w2", []byte(sound))}
		c.LinkUp(0, wire.Hello{Role: wire.RoleAgent, ID: "w2", Incarnation: "i2"})
		c.AgentsListed(0, takeover, rows)
		c.Receive(0, "w2", &wire.FenceReply{ID: takeover, Serial: 1, Last: true})
		for p, o := range c.owned {
			if o.agentsComplete {
				t.Fatalf("%s: partition %d is complete without the agent of w1", name, p)
			}
		}
		c.AgentsListed(0, takeover, []AgentRow{DecodeAgentRow(AgentKeyPrefix+"w2", []byte(sound))})
		if !c.owned[0].agentsComplete {
			t.Errorf("%s: the sound row beside it is not used", name)
		}
	}
}

// Guards against the deletion of a malformed row of a running agent, after which no takeover
// asks that agent for its task records.
func TestMalformedAgentRowIsNotDeletedAsLeft(t *testing.T) {
	for name, value := range malformedValues {
		c, _ := takeoverCore(t)
		row := DecodeAgentRow(AgentKeyPrefix+"w1", []byte(value))
		for now := time.Duration(0); now < 2*c.uncertaintyWindow(false); now += 10 * time.Second {
			c.AgentsListed(now, 0, []AgentRow{row})
		}
		for _, effect := range c.TakeEffects() {
			if _, deleted := effect.(DeleteAgentRow); deleted {
				t.Fatalf("%s: the row is deleted", name)
			}
		}
	}
}

// Guards against a takeover that never ends because a row was malformed when it began and
// sound later.
func TestTakeoverReadsARepairedAgentRow(t *testing.T) {
	c, takeover := takeoverCore(t)
	c.AgentsListed(0, takeover, []AgentRow{DecodeAgentRow(AgentKeyPrefix+"w1", nil)})
	c.TakeEffects()
	c.AgentsListed(time.Second, 0, nil)
	listed := false
	for _, effect := range c.TakeEffects() {
		list, ok := effect.(ListAgents)
		listed = listed || ok && list.Takeover == takeover
	}
	if !listed {
		t.Error("the rows are not listed again for the takeover")
	}
}

// Guards against a takeover that is complete without a running agent whose row was deleted.
func TestTakeoverAsksALinkedAgentWithoutARow(t *testing.T) {
	c, takeover := takeoverCore(t)
	c.LinkUp(0, wire.Hello{Role: wire.RoleAgent, ID: "w1", Incarnation: "i1"})
	c.LinkUp(0, wire.Hello{Role: wire.RoleAgent, ID: "w2", Incarnation: "i2"})
	c.TakeEffects()
	c.AgentsListed(0, takeover, []AgentRow{{Host: "w2", Incarnation: "i2"}})
	fenced := false
	for _, effect := range c.TakeEffects() {
		send, ok := effect.(Send)
		if !ok || send.To != "w1" {
			continue
		}
		_, fence := send.Message.(*wire.Fence)
		fenced = fenced || fence
	}
	c.Receive(0, "w2", &wire.FenceReply{ID: takeover, Serial: 1, Last: true})
	if !fenced || c.owned[0].agentsComplete {
		t.Errorf("fenced %v, complete without its reply %v", fenced, c.owned[0].agentsComplete)
	}
	c.Receive(0, "w1", &wire.FenceReply{ID: takeover, Serial: 1, Last: true})
	if !c.owned[0].agentsComplete {
		t.Error("the takeover is not complete although all agents have replied")
	}
}
