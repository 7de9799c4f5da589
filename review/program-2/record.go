package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file in which a case notes what was sent, answered and run.
type record struct {
	startedAt time.Time

	mu     sync.Mutex
	file   *os.File
	writer *bufio.Writer
}

// newRecord creates the file.
func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{startedAt: time.Now(), file: file, writer: bufio.NewWriter(file)}, nil
}

// add notes a line with the time in seconds since the start.
func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	// The file is complete only if close reports no error.
	fmt.Fprintf(r.writer, "%8.3f  %s\n", time.Since(r.startedAt).Seconds(), fmt.Sprintf(format, args...))
}

// close writes what is left to the file.
func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.writer.Flush(); err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	if err := r.file.Close(); err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
}
