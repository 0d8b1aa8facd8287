// Command cluster runs the system as separate processes on loopback for
// evaluation. It prints the URLs and ends all processes on SIGINT or SIGTERM.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/damasklb/damasklb/internal/rig"
)

func main() {
	rig.Main()
	o := rig.DefaultOptions()
	flag.StringVar(&o.Binary, "binary", "", "damasklb program (default: this one)")
	flag.IntVar(&o.Entries, "entries", o.Entries, "number of entries")
	flag.IntVar(&o.Agents, "agents", o.Agents, "number of agents, each with a sample upstream")
	flag.IntVar(&o.Slots, "slots", o.Slots, "tasks that each upstream runs at a time")
	flag.StringVar(&o.LogDir, "logs", "", "directory for the processes' logs (default: none are kept)")
	flag.Parse()
	r, err := rig.Start(o)
	if err != nil {
		fmt.Fprintf(os.Stderr, "cluster: %s\n", err)
		os.Exit(1)
	}
	defer r.Close()
	printProcesses(r)
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, os.Interrupt)
	<-stop
}

func printProcesses(r *rig.Rig) {
	fmt.Printf("table http://%s (PUT /faults)\n", r.Table.Address)
	for i, p := range r.Entries {
		fmt.Printf("entry %s %s pid %d\n", p.Name, r.URLs()[i], p.PID())
	}
	for i, p := range r.Agents {
		fmt.Printf("agent %s http://%s pid %d, upstream http://%s pid %d\n",
			p.Name, p.Address, p.PID(), r.Upstreams[i].Address, r.Upstreams[i].PID())
	}
	fmt.Printf("load: bin/damasklb submit --load --caller me --url %s --rate 50 --sleep mixed --deadline 10s\n", strings.Join(r.URLs(), ","))
}
