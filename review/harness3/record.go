package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is what was sent, answered and run, with the seconds since the start of the case.
type record struct {
	mu         sync.Mutex
	file       *os.File
	begin      time.Time
	violations []string
	// rule is the rule that the case checks; other broken rules are only noted.
	rule string
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: f, begin: time.Now()}, nil
}

func (r *record) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.write(format, args...)
}

// write writes a line. The caller holds r.mu.
func (r *record) write(format string, args ...any) {
	fmt.Fprintf(r.file, "%8.3f "+format+"\n", append([]any{time.Since(r.begin).Seconds()}, args...)...)
}

// violated notes that a rule was broken.
func (r *record) violated(rule, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	text := rule + ": " + fmt.Sprintf(format, args...)
	if rule != r.rule {
		r.write("besides, %s", text)
		return
	}
	r.violations = append(r.violations, text)
	r.write("BROKEN: %s", text)
}

func (r *record) couldNotRun(err error) int {
	r.note("could not run: %v", err)
	fmt.Println("could not run:", err)
	return notRun
}

func (r *record) verdict() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.violations) == 0 {
		r.write("the rule held")
		fmt.Println("the rule held")
		return held
	}
	r.write("the rule was broken %d times", len(r.violations))
	fmt.Printf("the rule was broken %d times, first: %s\n", len(r.violations), r.violations[0])
	return broken
}

func (r *record) close() { _ = r.file.Close() }
