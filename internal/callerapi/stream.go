package callerapi

import (
	"bufio"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/sourcegraph/conc"

	"heatherrelay/internal/refusal"
	"heatherrelay/internal/target"
)

const (
	// maxBufferedChunks bounds the chunks buffered for a slow caller.
	maxBufferedChunks = 32
	// keepAliveInterval is the time between the SSE comments written to an idle
	// stream. Writing them detects a caller that has disconnected.
	keepAliveInterval = 5 * time.Second
)

// chunkPipe connects the goroutine that executes a request to the one that writes
// its stream.
type chunkPipe struct {
	chunks chan target.Chunk
	// result receives the outcome of the execution after the last chunk.
	result chan error
	// callerGone is closed when the stream is no longer written.
	callerGone chan struct{}
}

// answerStream runs the request and writes the answer as server-sent events. A
// refusal before the first chunk is an ordinary response with its own status; a
// later one is written as an error event.
func (s *Server) answerStream(c fiber.Ctx, r *activeRequest, x execution) error {
	pipe := chunkPipe{
		chunks:     make(chan target.Chunk, maxBufferedChunks),
		result:     make(chan error, 1),
		callerGone: make(chan struct{}),
	}
	var tasks conc.WaitGroup
	tasks.Go(func() { pipe.result <- pipe.execute(x) })
	first, ok := <-pipe.chunks
	if !ok {
		tasks.Wait()
		if err := <-pipe.result; err != nil {
			return err
		}
		return refusal.MayHaveRun(refusal.CodeBrokenStream, "the answer is empty")
	}
	r.recordFirstToken()
	c.Set(fiber.HeaderContentType, "text/event-stream")
	c.Set(fiber.HeaderCacheControl, "no-cache")
	r.streaming = true
	return c.SendStreamWriter(func(w *bufio.Writer) {
		err := pipe.writeEvents(w, r.requestID, first)
		close(pipe.callerGone)
		tasks.Wait()
		r.onEnd(err)
	})
}

// execute runs the request, sends its chunks to the writer and closes chunks after
// the last one.
func (p *chunkPipe) execute(x execution) error {
	defer close(p.chunks)
	var offsets offsetChecker
	return x.run(func(chunk target.Chunk) error {
		if err := offsets.check(chunk); err != nil {
			return err
		}
		select {
		case p.chunks <- chunk:
			return nil
		case <-p.callerGone:
			return refusal.MayHaveRun(refusal.CodeCallerGone, "the caller closed the connection").WithCause(errCallerGone)
		}
	})
}

// writeEvents writes events until the stream ends or the caller disconnects. It
// returns nil if the caller received the complete answer, else the refusal.
func (p *chunkPipe) writeEvents(w *bufio.Writer, requestID string, first target.Chunk) error {
	if err := writeEvent(w, first.Data); err != nil {
		return callerGoneRefusal(err)
	}
	keepAlive := time.NewTicker(keepAliveInterval)
	defer keepAlive.Stop()
	for {
		select {
		case chunk, ok := <-p.chunks:
			if !ok {
				return p.writeEnd(w, requestID, <-p.result)
			}
			if err := writeEvent(w, chunk.Data); err != nil {
				return callerGoneRefusal(err)
			}
		case <-keepAlive.C:
			if err := writeLine(w, ": waiting\n\n"); err != nil {
				return callerGoneRefusal(err)
			}
		}
	}
}

// writeEnd writes the [DONE] marker, or the refusal that ended the stream, and
// returns that refusal.
func (p *chunkPipe) writeEnd(w *bufio.Writer, requestID string, result error) error {
	if result == nil {
		if err := writeLine(w, "data: [DONE]\n\n"); err != nil {
			return callerGoneRefusal(err)
		}
		return nil
	}
	line := refusalJSON(requestID, refusal.From(result))
	if err := writeLine(w, "event: error\ndata: "+string(line)+"\n\n"); err != nil {
		return callerGoneRefusal(err)
	}
	return result
}

// callerGoneRefusal returns the refusal recorded for a request whose caller
// disconnected; err is the cause.
func callerGoneRefusal(err error) error {
	return refusal.MayHaveRun(refusal.CodeCallerGone, "the caller closed the connection").WithCause(err)
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
