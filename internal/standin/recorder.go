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

// maxRecordedBytes bounds the total size of the requests that a recorder keeps.
const maxRecordedBytes = 64 << 20

// Recorder keeps all requests that a stand-in received: request lines, headers
// and bodies. Its size is bounded; it counts the bytes of the requests that no
// longer fit.
type Recorder struct {
	mu           sync.Mutex
	requests     [][]byte
	keptBytes    int
	droppedBytes int
	headers      map[string]struct{}
}

// SearchResult is the answer to a search in the recorded requests.
type SearchResult struct {
	Found bool `json:"found"`
	// DroppedBytes is the size of the requests that were received but not kept,
	// and so not searched.
	DroppedBytes int `json:"dropped_bytes"`
}

// Search reports whether any recorded request contains the text.
func (r *Recorder) Search(text string) SearchResult {
	r.mu.Lock()
	defer r.mu.Unlock()
	result := SearchResult{DroppedBytes: r.droppedBytes}
	for _, request := range r.requests {
		if bytes.Contains(request, []byte(text)) {
			result.Found = true
		}
	}
	return result
}

// Headers returns the sorted names of all headers received.
func (r *Recorder) Headers() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Sorted(maps.Keys(r.headers))
}

// record keeps a copy of a request and restores its body for the handler.
func (r *Recorder) record(request *http.Request) {
	body, err := io.ReadAll(request.Body)
	request.Body = io.NopCloser(io.MultiReader(bytes.NewReader(body), &failingReader{err: err}))
	var text bytes.Buffer
	fmt.Fprintf(&text, "%s %s\nHost: %s\n", request.Method, request.RequestURI, request.Host)
	names := []string{}
	for _, header := range []http.Header{request.Header, request.Trailer} {
		for name, values := range header {
			names = append(names, name)
			fmt.Fprintf(&text, "%s: %s\n", name, values)
		}
	}
	text.Write(body)
	r.store(names, text.Bytes())
}

func (r *Recorder) store(names []string, request []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.headers == nil {
		r.headers = map[string]struct{}{}
	}
	for _, name := range names {
		r.headers[name] = struct{}{}
	}
	if r.keptBytes+len(request) > maxRecordedBytes {
		r.droppedBytes += len(request)
		return
	}
	r.keptBytes += len(request)
	r.requests = append(r.requests, request)
}

// failingReader ends a restored body with the error of the original body.
type failingReader struct{ err error }

// Read returns the error that ended the body, or io.EOF.
func (f *failingReader) Read([]byte) (int, error) {
	if f.err != nil {
		return 0, f.err
	}
	return 0, io.EOF
}
