package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/damasklb/damasklb/internal/entry"
	"github.com/damasklb/damasklb/internal/fault"
)

const submitGrace = 2 * time.Second

func newSubmit(env Env) *ffcli.Command {
	fs := newFlagSet("submit", env)
	url := fs.String("url", "http://127.0.0.1:8080", "URL of an entry; with --load a list separated by commas")
	class := fs.String("class", "echo", "work class")
	caller := fs.String("caller", "", "caller's name, for entries in dev mode")
	token := fs.String("token", "", "bearer token")
	key := fs.String("key", "", "idempotency key (default: a new one)")
	payload := fs.String("payload", "{}", "payload of each task, as JSON")
	tasks := fs.Int("tasks", 1, "tasks in the job")
	deadline := fs.Duration("deadline", 2*time.Second, "deadline of the job")
	generate := newLoadFlags(fs)
	return addSettings(env, &ffcli.Command{
		Name:       "submit",
		ShortUsage: "damasklb submit [flags]",
		ShortHelp:  "submit a job and print its answer",
		LongHelp: "Example:\n  damasklb submit --caller me --payload '{\"sleep_ms\":50}' --tasks 3\n" +
			"  damasklb submit --load --caller me --url http://127.0.0.1:8080,http://127.0.0.1:8090 --rate 50 --duration 20s --sleep mixed --copies 3",
		FlagSet: fs,
		Exec: func(ctx context.Context, _ []string) error {
			if !json.Valid([]byte(*payload)) {
				return fault.Usage.New("submit: --payload %q is not JSON", *payload)
			}
			if *key == "" {
				*key = newIncarnation()
			}
			body := jobBody(*class, *deadline, *tasks, *payload)
			if *generate.on {
				o, err := generate.options()
				if err != nil {
					return err
				}
				o.URLs, o.Class, o.Caller, o.Token = splitURLs(*url), *class, *caller, *token
				o.Tasks, o.Deadline, o.KeyPrefix = *tasks, *deadline, *key
				return runLoad(ctx, env, o, *generate.json)
			}
			client := &http.Client{Timeout: *deadline + submitGrace}
			status, answer, err := postJob(ctx, client, *url, *key, *caller, *token, body)
			if err != nil {
				return err
			}
			_, _ = env.Stdout.Write(answer)
			if status != http.StatusOK {
				return fault.JobRefused.New("the entry answered with status %d", status)
			}
			return nil
		},
	}, "token")
}

func jobBody(class string, deadline time.Duration, tasks int, payload string) []byte {
	job := entry.JobRequest{Class: class, DeadlineMS: deadline.Milliseconds()}
	for range tasks {
		job.Tasks = append(job.Tasks, entry.TaskRequest{Payload: json.RawMessage(payload)})
	}
	body, err := json.Marshal(job)
	if err != nil {
		panic(err) // the payload was checked to be JSON
	}
	return body
}

func postJob(ctx context.Context, client *http.Client, url, key, caller, token string, body []byte) (int, []byte, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/v1/jobs", bytes.NewReader(body))
	if err != nil {
		return 0, nil, fault.Usage.Wrap(err, "submit: --url")
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Idempotency-Key", key)
	if caller != "" {
		req.Header.Set("Damasklb-Caller", caller)
	}
	if token != "" {
		req.Header.Set("Authorization", "Bearer "+token)
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil, fault.Unreachable.Wrap(err, "post job %s", strconv.Quote(key))
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil, fault.Unreachable.Wrap(err, "read answer to job %s", strconv.Quote(key))
	}
	return resp.StatusCode, answer, nil
}
