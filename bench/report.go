package main

import (
	"encoding/csv"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strconv"
	"text/tabwriter"
)

// report prints the medians and writes the CSV file and the plots.
func report(o options, rows []*row) error {
	if err := table(os.Stdout, rows); err != nil {
		return err
	}
	if o.out == "" {
		return nil
	}
	if err := os.MkdirAll(o.out, 0o755); err != nil {
		return err
	}
	if err := writeCSV(filepath.Join(o.out, "policy.csv"), o, rows); err != nil {
		return err
	}
	return plots(o.out, rows)
}

func table(w io.Writer, rows []*row) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprint(t, "site\tscenario\tpolicy")
	for _, c := range columns {
		fmt.Fprintf(t, "\t%s", c.name)
	}
	fmt.Fprintln(t)
	for _, r := range rows {
		fmt.Fprintf(t, "%s\t%s\t%s", r.site, r.scenario, r.policy)
		for _, c := range columns {
			fmt.Fprintf(t, "\t%.4g", *c.of(&r.median))
		}
		fmt.Fprintln(t)
	}
	return t.Flush()
}

// writeCSV writes one line per run, which shows the variation over the seeds.
func writeCSV(path string, o options, rows []*row) error {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	defer f.Close()
	w := csv.NewWriter(f)
	head := []string{"site", "scenario", "policy", "seed"}
	for _, c := range columns {
		head = append(head, c.name)
	}
	if err := w.Write(head); err != nil {
		return err
	}
	for _, r := range rows {
		for i := range r.results {
			line := []string{r.site, r.scenario, r.policy, strconv.FormatUint(o.first+uint64(i), 10)}
			for _, c := range columns {
				line = append(line, strconv.FormatFloat(*c.of(&r.results[i]), 'g', 6, 64))
			}
			if err := w.Write(line); err != nil {
				return err
			}
		}
	}
	w.Flush()
	return w.Error()
}
