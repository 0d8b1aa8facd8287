package broker

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/damasklb/damasklb/internal/wire"
)

// Guards against a report with absurd figures that terminates an entry: the predicted wait
// overflowed, and the retry delay of the refusal became negative.
func TestAbsurdReportsAreSurvived(t *testing.T) {
	extremes := []int{math.MinInt64, math.MinInt64 / 2, -1, 0, 1, math.MaxInt64}
	for _, capacityCPU := range extremes {
		for _, free := range extremes {
			for _, taskCPU := range extremes {
				for i, rate := range []uint32{0, 1, math.MaxUint32, 0, 1, math.MaxUint32} {
					waitMS := uint16(i / 3 * math.MaxUint16)
					l := wire.Load{Ready: true, Service: "s", CapacityCPU: capacityCPU, CapacityMem: capacityCPU, FreeCPU: free, FreeMem: free, TaskCPU: taskCPU, Slowness: uint32(waitMS)}
					for i := range l.QueuedWork {
						l.QueuedWork[i], l.WaitMS[i], l.ReleaseRate[i] = math.MaxUint32, waitMS, rate
					}
					func() {
						defer func() {
							if r := recover(); r != nil {
								t.Errorf("%v with capacity %d, free %d, task %d, rate %d", r, capacityCPU, free, taskCPU, rate)
							}
						}()
						g := newRig(t, "a")
						for i := range 8 {
							g.heartbeat("a", l)
							g.submit(fmt.Sprint("j", i), Waiter(i+1), 1)
							g.now += 20 * time.Millisecond
							g.b.Tick(g.now)
						}
					}()
				}
			}
		}
	}
}
