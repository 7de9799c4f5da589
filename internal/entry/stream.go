package entry

import (
	"bufio"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/sourcegraph/conc"

	"heatherrelay/internal/refusal"
	"heatherrelay/internal/target"
)

const (
	// streamChunks bounds the chunks that wait for a slow caller.
	streamChunks = 32
	// keepAliveEvery is the time between comments on a stream without chunks,
	// which is how a caller that has gone is noticed.
	keepAliveEvery = 5 * time.Second
)

// relay joins the run of a request to the writing of its stream.
type relay struct {
	chunks chan target.Chunk
	// result gets the outcome of the run, after the last chunk.
	result chan error
	// gone is closed when the caller reads no more.
	gone chan struct{}
}

// stream answers with server-sent events. A refusal before the first chunk is
// an ordinary one with its status; after that it is an error event.
func (s *Server) stream(c fiber.Ctx, r *caller, x execution) error {
	l := relay{
		chunks: make(chan target.Chunk, streamChunks),
		result: make(chan error, 1),
		gone:   make(chan struct{}),
	}
	var tasks conc.WaitGroup
	tasks.Go(func() { l.result <- l.run(x) })
	first, ok := <-l.chunks
	if !ok {
		tasks.Wait()
		if err := <-l.result; err != nil {
			return err
		}
		return refusal.MayHaveRun(refusal.CodeBrokenStream, "the answer is empty")
	}
	r.emitted()
	c.Set(fiber.HeaderContentType, "text/event-stream")
	c.Set(fiber.HeaderCacheControl, "no-cache")
	r.kept = true
	return c.SendStreamWriter(func(w *bufio.Writer) {
		err := l.write(w, r.requestID, first)
		close(l.gone)
		tasks.Wait()
		r.end(err)
	})
}

// run executes the request and closes chunks after the last one.
func (l *relay) run(x execution) error {
	defer close(l.chunks)
	var o order
	return x.run(func(chunk target.Chunk) error {
		if err := o.check(chunk); err != nil {
			return err
		}
		select {
		case l.chunks <- chunk:
			return nil
		case <-l.gone:
			return refusal.MayHaveRun(refusal.CodeCallerGone, "the caller closed the connection").Because(errCallerGone)
		}
	})
}

// write writes events until the end of the stream or of the caller, and returns
// why an answer was not whole.
func (l *relay) write(w *bufio.Writer, requestID string, first target.Chunk) error {
	if err := writeEvent(w, first.Data); err != nil {
		return callerGone(err)
	}
	keepAlive := time.NewTicker(keepAliveEvery)
	defer keepAlive.Stop()
	for {
		select {
		case chunk, ok := <-l.chunks:
			if !ok {
				return l.end(w, requestID, <-l.result)
			}
			if err := writeEvent(w, chunk.Data); err != nil {
				return callerGone(err)
			}
		case <-keepAlive.C:
			if err := writeLine(w, ": waiting\n\n"); err != nil {
				return callerGone(err)
			}
		}
	}
}

// end writes the end marker, or the refusal that ended the stream.
func (l *relay) end(w *bufio.Writer, requestID string, result error) error {
	if result == nil {
		if err := writeLine(w, "data: [DONE]\n\n"); err != nil {
			return callerGone(err)
		}
		return nil
	}
	line := refusalJSON(requestID, refusal.From(result))
	if err := writeLine(w, "event: error\ndata: "+string(line)+"\n\n"); err != nil {
		return callerGone(err)
	}
	return result
}

func callerGone(err error) error {
	return refusal.MayHaveRun(refusal.CodeCallerGone, "the caller closed the connection").Because(err)
}

func writeEvent(w *bufio.Writer, data []byte) error {
	if _, err := w.WriteString("data: "); err != nil {
		return err
	}
	if _, err := w.Write(data); err != nil {
		return err
	}
	return writeLine(w, "\n\n")
}

func writeLine(w *bufio.Writer, line string) error {
	if _, err := w.WriteString(line); err != nil {
		return err
	}
	return w.Flush()
}
