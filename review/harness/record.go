// Package harness starts instances of the gateway as processes before stand-ins of the
// platform, for the cases of the review.
package harness

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Record writes a case's record.txt. It is safe for concurrent use.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// NewRecord creates the record at path.
func NewRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{file: file, start: time.Now()}, nil
}

// Printf writes a line with the seconds since the start of the record.
func (r *Record) Printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// Close closes the record.
func (r *Record) Close() error { return r.file.Close() }
