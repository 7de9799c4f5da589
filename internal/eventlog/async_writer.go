package eventlog

import (
	"io"
	"strconv"
	"sync"
	"sync/atomic"
)

// bufferedLines is the maximum number of lines that wait for a slow reader.
const bufferedLines = 4096

// AsyncWriter buffers lines and writes them from its own goroutine, so that logging
// never blocks on a slow reader. Lines are dropped and counted while the buffer is
// full; the count is written before the next line. It is safe for concurrent use.
type AsyncWriter struct {
	lines   chan []byte
	dropped atomic.Uint64
	stop    chan struct{}
	done    chan struct{}
	once    sync.Once
}

// NewAsyncWriter returns an AsyncWriter that writes to out. Its goroutine runs until Close.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	w := &AsyncWriter{lines: make(chan []byte, bufferedLines), stop: make(chan struct{}), done: make(chan struct{})}
	go w.run(out)
	return w
}

func (w *AsyncWriter) run(out io.Writer) {
	defer close(w.done)
	for {
		select {
		case line := <-w.lines:
			w.write(out, line)
		case <-w.stop:
			w.drain(out)
			return
		}
	}
}

// drain writes the buffered lines.
func (w *AsyncWriter) drain(out io.Writer) {
	for {
		select {
		case line := <-w.lines:
			w.write(out, line)
		default:
			return
		}
	}
}

// write writes a line, after the count of dropped lines if there are any. Write errors
// are ignored, since there is nowhere to report them.
func (w *AsyncWriter) write(out io.Writer, line []byte) {
	if dropped := w.dropped.Swap(0); dropped > 0 {
		_, _ = io.WriteString(out, `{"level":"warn","msg":"log lines dropped","lines":`+strconv.FormatUint(dropped, 10)+"}\n")
	}
	_, _ = out.Write(line)
}

// Write buffers one line, or drops it if the buffer is full. It never blocks and never
// fails.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Close writes the buffered lines and stops the goroutine. Lines written later are
// lost.
func (w *AsyncWriter) Close() {
	w.once.Do(func() { close(w.stop) })
	<-w.done
}
