package eventlog

import (
	"io"
	"strconv"
	"sync"
	"sync/atomic"
)

// ringLines is how many lines wait at most for a slow reader.
const ringLines = 4096

// Ring writes lines from a goroutine of its own, so that whoever logs never
// waits for the reader. Lines that find the ring full are dropped and counted;
// the count is written once there is room. It is safe for concurrent use.
type Ring struct {
	lines   chan []byte
	dropped atomic.Uint64
	stop    chan struct{}
	done    chan struct{}
	once    sync.Once
}

// NewRing returns a ring in front of out.
func NewRing(out io.Writer) *Ring {
	r := &Ring{lines: make(chan []byte, ringLines), stop: make(chan struct{}), done: make(chan struct{})}
	go r.run(out)
	return r
}

func (r *Ring) run(out io.Writer) {
	defer close(r.done)
	for {
		select {
		case line := <-r.lines:
			r.write(out, line)
		case <-r.stop:
			r.writeWaiting(out)
			return
		}
	}
}

func (r *Ring) writeWaiting(out io.Writer) {
	for {
		select {
		case line := <-r.lines:
			r.write(out, line)
		default:
			return
		}
	}
}

// write writes a line. There is nowhere to report that the log cannot be written.
func (r *Ring) write(out io.Writer, line []byte) {
	if dropped := r.dropped.Swap(0); dropped > 0 {
		_, _ = io.WriteString(out, `{"level":"warn","msg":"log lines dropped","lines":`+strconv.FormatUint(dropped, 10)+"}\n")
	}
	_, _ = out.Write(line)
}

// Write takes one line. It never fails and never waits.
func (r *Ring) Write(line []byte) (int, error) {
	select {
	case r.lines <- append([]byte(nil), line...):
	default:
		r.dropped.Add(1)
	}
	return len(line), nil
}

// Close writes what waits and stops; lines that come later are lost.
func (r *Ring) Close() {
	r.once.Do(func() { close(r.stop) })
	<-r.done
}
