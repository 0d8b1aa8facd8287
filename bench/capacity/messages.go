package main

import (
	"fmt"
	"time"

	"github.com/damasklb/damasklb/internal/owner"
	"github.com/damasklb/damasklb/internal/wire"
)

// measureMessages measures the encoded size and the codec time of the messages that
// are sent often and of those that grow with the job or the configuration.
func measureMessages(r *report) error {
	job := wire.NewJobID("workshop", "key")
	task := wire.TaskID{Job: job, Index: 139}
	credit := wire.Credit{Upstream: serviceName, Count: 8, LastSeq: 1 << 20, TTLMS: 20000}
	fixed := []wire.Message{
		&wire.Ping{Seq: 1000, MapVersion: 1000, ConfigVersion: 1000},
		&wire.Pong{Seq: 1000, MapVersion: 1000, ConfigVersion: 1000},
		&credit,
		&wire.Want{Upstream: serviceName, Count: 100},
		&wire.NotStarted{Task: task, Attempt: 1, Reason: wire.ReasonNoSlot, Credit: credit},
		&wire.Witness{ID: 1 << 20, JobRecords: []wire.JobRecord{{Job: job, Epoch: 1000}}},
		&wire.WitnessAck{ID: 1 << 20},
		&wire.Start{
			Task: task, Attempt: 1, Epoch: 1000, Upstream: serviceName, Seq: 1 << 20, Class: className, Caller: "workshop",
			TaskCount: 140, DeadlineMS: 5000, Payload: payload(), ConfigVersion: 1000,
		},
		&wire.Result{Task: task, Attempt: 1, OK: true, Payload: payload(), RunUS: 50000, Credit: credit},
	}
	for _, m := range fixed {
		if err := messageCost(r, fmt.Sprintf("%T", m)[len("*wire."):], "payload", payloadBytes, m); err != nil {
			return err
		}
	}
	for _, tasks := range []int{1, 10, 140} {
		forward := &wire.Forward{ID: 1, Job: job, Caller: "workshop", Class: className, Epoch: 1000, DeadlineMS: 5000}
		for range tasks {
			forward.Payloads = append(forward.Payloads, payload())
		}
		if err := messageCost(r, "Forward", "tasks", float64(tasks), forward); err != nil {
			return err
		}
		reply := &wire.ForwardReply{ID: 1, Answer: &wire.Answer{Status: 200, Body: make([]byte, answerBytes(tasks))}}
		if err := messageCost(r, "ForwardReply", "tasks", float64(tasks), reply); err != nil {
			return err
		}
	}
	for _, size := range []int{1 << 10, 16 << 10, 64 << 10, 256 << 10} {
		notice := &wire.ConfigNotice{Version: 1000, Content: make([]byte, size)}
		if err := messageCost(r, "ConfigNotice", "content", float64(size), notice); err != nil {
			return err
		}
	}
	refusal := owner.ProblemAnswer(owner.ProblemOverload, job.String(), "", true, 0, time.Second)
	r.addPoint("refusal: bytes of the body", "payload", 0, "B", float64(len(refusal.Body)))
	return nil
}

func messageCost(r *report, name, by string, size float64, m wire.Message) error {
	const rounds = 5000
	frame, err := wire.Encode(m)
	if err != nil {
		return err
	}
	r.addPoint(name+": bytes", by, size, "B", float64(len(frame)))
	begin := processorTime()
	for range rounds {
		if _, err := codecRoundTrip(m); err != nil {
			return err
		}
	}
	r.addPoint(name+": encode and decode", by, size, "µs", nanoseconds(processorTime()-begin, rounds)/1000)
	return nil
}
