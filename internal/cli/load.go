package cli

import (
	"context"
	"encoding/json"
	"flag"
	"strings"
	"time"

	"github.com/damasklb/damasklb/internal/fault"
	"github.com/damasklb/damasklb/internal/load"
)

// loadFlags holds the values of submit's flags that only apply with --load.
type loadFlags struct {
	enabled   *bool
	rate      *float64
	duration  *time.Duration
	sleep     *string
	copies    *int
	copyDelay *time.Duration
	failover  *bool
	retries   *int
	seed      *uint64
	json      *bool
}

func newLoadFlags(fs *flag.FlagSet) *loadFlags {
	return &loadFlags{
		enabled:   fs.Bool("load", false, "generate load at a fixed rate and print quantiles"),
		rate:      fs.Float64("rate", 10, "with --load: jobs per second, whether or not earlier ones are answered"),
		duration:  fs.Duration("duration", 10*time.Second, "with --load: how long jobs are sent"),
		sleep:     fs.String("sleep", "100ms", "with --load: run time of tasks, a duration or \"mixed\" (most 50 ms to 1 s, a few several seconds)"),
		copies:    fs.Int("copies", 1, "with --load: how often each job is sent, to different entries"),
		copyDelay: fs.Duration("copy-delay", 0, "with --load: time between copies of a job"),
		failover:  fs.Bool("failover", false, "with --load: go to the next entry if a connection is refused"),
		retries:   fs.Int("retries", 0, "with --load: send again after a refusal with not_run, at most this often"),
		seed:      fs.Uint64("seed", 1, "with --load: seed of the run times"),
		json:      fs.Bool("json", false, "with --load: print the report as JSON"),
	}
}

func (f *loadFlags) options() (load.Options, error) {
	o := load.Options{
		Rate: *f.rate, Duration: *f.duration, Copies: *f.copies, CopyDelay: *f.copyDelay,
		Failover: *f.failover, Retries: *f.retries, Seed: *f.seed,
	}
	if *f.sleep == "mixed" {
		o.Sleep.Mixed = true
		return o, nil
	}
	fixed, err := time.ParseDuration(*f.sleep)
	if err != nil || fixed < 0 {
		return o, fault.Usage.New("submit: --sleep %q is neither a duration such as 100ms nor \"mixed\"", *f.sleep)
	}
	o.Sleep.Fixed = fixed
	return o, nil
}

// runLoad runs the load, prints the report and returns an error if an answer was
// wrong.
func runLoad(ctx context.Context, env Env, o load.Options, asJSON bool) error {
	report, err := load.Run(ctx, o)
	if err != nil {
		return err
	}
	if asJSON {
		e := json.NewEncoder(env.Stdout)
		e.SetIndent("", "  ")
		if err := e.Encode(report); err != nil {
			return fault.Internal.Wrap(err, "write report")
		}
	} else {
		report.Print(env.Stdout)
	}
	if len(report.Wrong) > 0 {
		return fault.JobRefused.New("answers were wrong: %v", report.Wrong)
	}
	return nil
}

// splitURLs returns the URLs in a list separated by commas.
func splitURLs(list string) []string {
	var urls []string
	for url := range strings.SplitSeq(list, ",") {
		if url = strings.TrimSpace(url); url != "" {
			urls = append(urls, strings.TrimRight(url, "/"))
		}
	}
	return urls
}
