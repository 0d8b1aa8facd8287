package main

import (
	"net"
	"net/http"
	"sync"
	"time"
)

func init() { cases["close-lost-in-a-short-cut"] = closeLostInAShortCut }

const (
	// cutTime is the length of the cut, leaveAfter the time from its begin until clients leave.
	cutTime    = 250 * time.Millisecond
	leaveAfter = 100 * time.Millisecond
	// clients is the number of clients whose jobs the entry runs, leaving that of those who leave.
	clients = 16
	leaving = 6
	// patience is for how long the clients say that they wait.
	patience = 3700 * time.Millisecond
)

// closeLostInAShortCut cuts an entry off for a moment, in which some of its clients leave. They send
// their jobs again to the other entry.
func closeLostInAShortCut(d *deployment) (bool, error) {
	front, err := newRelay(net.JoinHostPort(d.network+"200", "18161"), net.JoinHostPort(d.network+"11", "18161"))
	if err != nil {
		return false, err
	}
	links, err := newRelay(net.JoinHostPort(d.network+"201", "17720"), net.JoinHostPort(d.network+"11", "17720"))
	if err != nil {
		return false, err
	}
	// The agents find the first entry behind the relay.
	d.relayed = map[string]string{d.network + "11": d.network + "201"}
	entries, _, _, err := d.startAll(2, 4, 2000)
	if err != nil {
		return false, err
	}
	time.Sleep(contact)

	relayedFront := host{name: entries[0].host.name, ip: d.network + "200", role: "entry"}
	job := step{Count: 4, CPU: 2000, MemMB: 64, Estimate: 3000}
	left := make(chan struct{})
	var done sync.WaitGroup
	for i := range clients {
		done.Add(1)
		go func() {
			defer done.Done()
			c, err := send(relayedFront, http.MethodPost, newID(), int(patience.Milliseconds()), spec{MS: 3000}, job)
			if err != nil {
				d.record("not sent: %v", err)
				return
			}
			d.record("job %s sent to %s", c.id, relayedFront.name)
			if i < leaving {
				<-left
				// The client resets its connection.
				_ = c.conn.(*net.TCPConn).SetLinger(0)
				c.close()
				d.record("the client of job %s leaves", c.id)
				time.Sleep(resend)
				again, err := send(entries[1].host, http.MethodPost, c.id, int(patience.Milliseconds()), spec{MS: 3000}, job)
				if err != nil {
					d.record("not sent: %v", err)
					return
				}
				d.record("job %s sent to %s", c.id, entries[1].host.name)
				c = again
			}
			defer c.close()
			status, body, err := c.answer(patience)
			d.record("job %s: status %d %.60s err %v", c.id, status, body, err)
		}()
	}
	time.Sleep(500 * time.Millisecond)
	if d.trouble {
		d.record("%s is cut off", entries[0].host.name)
		for _, r := range []*relay{front, links} {
			done.Add(1)
			go func() {
				defer done.Done()
				r.cut(cutTime)
			}()
		}
	}
	time.Sleep(leaveAfter)
	close(left)
	done.Wait()
	time.Sleep(time.Second)
	return d.ranTwice() == 0, nil
}
