package standin

import (
	"bytes"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"sync"
)

// maxRecordedBytes bounds what a recorder keeps.
const maxRecordedBytes = 64 << 20

// Recorder keeps the bytes of all requests that a stand-in received: request
// lines, headers and bodies. It is bounded, and counts what it had to drop.
type Recorder struct {
	mu      sync.Mutex
	pieces  [][]byte
	kept    int
	dropped int
	headers map[string]struct{}
}

// Found is the answer to a search of what was received.
type Found struct {
	Found bool `json:"found"`
	// DroppedBytes were received and not searched.
	DroppedBytes int `json:"dropped_bytes"`
}

// Search says whether any request held the text.
func (r *Recorder) Search(text string) Found {
	r.mu.Lock()
	defer r.mu.Unlock()
	found := Found{DroppedBytes: r.dropped}
	for _, piece := range r.pieces {
		if bytes.Contains(piece, []byte(text)) {
			found.Found = true
		}
	}
	return found
}

// Headers returns the names of all headers seen, sorted.
func (r *Recorder) Headers() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Sorted(maps.Keys(r.headers))
}

// record keeps a request and leaves its body readable.
func (r *Recorder) record(request *http.Request) {
	body, err := io.ReadAll(request.Body)
	request.Body = io.NopCloser(io.MultiReader(bytes.NewReader(body), &failingReader{err: err}))
	var piece bytes.Buffer
	fmt.Fprintf(&piece, "%s %s\nHost: %s\n", request.Method, request.RequestURI, request.Host)
	names := []string{}
	for _, header := range []http.Header{request.Header, request.Trailer} {
		for name, values := range header {
			names = append(names, name)
			fmt.Fprintf(&piece, "%s: %s\n", name, values)
		}
	}
	piece.Write(body)
	r.keep(names, piece.Bytes())
}

func (r *Recorder) keep(names []string, piece []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.headers == nil {
		r.headers = map[string]struct{}{}
	}
	for _, name := range names {
		r.headers[name] = struct{}{}
	}
	if r.kept+len(piece) > maxRecordedBytes {
		r.dropped += len(piece)
		return
	}
	r.kept += len(piece)
	r.pieces = append(r.pieces, piece)
}

// failingReader ends a body as it ended on the wire.
type failingReader struct{ err error }

// Read returns the error that ended the body, or io.EOF.
func (f *failingReader) Read([]byte) (int, error) {
	if f.err != nil {
		return 0, f.err
	}
	return 0, io.EOF
}
