package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes what was sent, answered and run, one line for each event.
type recorder struct {
	begin time.Time

	mu         sync.Mutex // guards the fields below
	file       *os.File
	violations []string
}

func newRecorder(path string) (*recorder, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{begin: time.Now(), file: f}, nil
}

// log writes a line with the time since the begin in seconds.
func (r *recorder) log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.write(fmt.Sprintf(format, args...))
}

func (r *recorder) write(text string) {
	// A record that cannot be written must not end the case: its exit status counts.
	_, _ = fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.begin).Seconds(), text)
}

// violation records that the rule was broken.
func (r *recorder) violation(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	text := fmt.Sprintf(format, args...)
	r.violations = append(r.violations, text)
	r.write("BROKEN: " + text)
}

// broken returns the number of violations so far.
func (r *recorder) broken() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.violations)
}

func (r *recorder) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	// The record is complete up to here in any case.
	_ = r.file.Close()
}
