package standin

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"heatherrelay/internal/objectstore"
)

// watchReadInterval is the interval at which a waiting watch counts as a read.
const watchReadInterval = time.Second

// WriteResult is the body of the answer to a write.
type WriteResult struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
}

func (p *Platform) get(w http.ResponseWriter, r *http.Request) {
	object, err := p.Memory.Store().Get(r.Context(), r.PathValue("key"))
	if err != nil {
		writeStoreError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, object)
}

func (p *Platform) list(w http.ResponseWriter, r *http.Request) {
	listing, err := p.Memory.Store().List(r.Context(), r.URL.Query().Get("prefix"))
	if err != nil {
		writeStoreError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, listing)
}

func (p *Platform) put(w http.ResponseWriter, r *http.Request) {
	ifVersion, err := queryNumber(r, "if_version")
	if err != nil {
		writeStoreError(w, err)
		return
	}
	value, err := io.ReadAll(io.LimitReader(r.Body, objectstore.MaxValueBytes+1))
	if err != nil {
		writeStoreError(w, errBadRequest.Wrap(err))
		return
	}
	key := r.PathValue("key")
	version, err := p.Memory.Store().Put(r.Context(), key, value, ifVersion)
	if err != nil {
		writeStoreError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, WriteResult{Key: key, Version: version})
}

func (p *Platform) remove(w http.ResponseWriter, r *http.Request) {
	ifVersion, err := queryNumber(r, "if_version")
	if err != nil {
		writeStoreError(w, err)
		return
	}
	key := r.PathValue("key")
	if err := p.Memory.Store().Delete(r.Context(), key, ifVersion); err != nil {
		writeStoreError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, WriteResult{Key: key})
}

func (p *Platform) watch(w http.ResponseWriter, r *http.Request) {
	after, err := queryNumber(r, "after")
	if err != nil {
		writeStoreError(w, err)
		return
	}
	wait, err := queryNumber(r, "wait_ms")
	if err != nil {
		writeStoreError(w, err)
		return
	}
	changes, err := p.waitForChanges(r.Context(), r.URL.Query().Get("prefix"), after, time.Duration(wait)*time.Millisecond)
	if err != nil {
		writeStoreError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, changes)
}

// waitForChanges waits for changes in intervals of watchReadInterval, and
// counts a read after each; an outage ends the wait.
func (p *Platform) waitForChanges(ctx context.Context, prefix string, after uint64, wait time.Duration) (objectstore.Changes, error) {
	p.updateStats(func(s *PlatformStats) { s.Watches++ })
	for {
		interval := min(wait, watchReadInterval)
		changes, err := p.Memory.Store().Watch(ctx, prefix, after, interval)
		if err != nil || len(changes.Events) > 0 || wait <= interval {
			return changes, err
		}
		wait -= interval
		p.mu.Lock()
		outage := p.faults.Outage
		p.allowCall(false)
		p.mu.Unlock()
		if outage {
			return objectstore.Changes{}, objectstore.ErrUnavailable.New("outage")
		}
	}
}

func (p *Platform) updateStats(change func(*PlatformStats)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change(&p.stats)
}

func (p *Platform) instances(w http.ResponseWriter, r *http.Request) {
	entries, err := p.Memory.Store().Instances(r.Context())
	if err != nil {
		writeStoreError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, append([]objectstore.InstanceEntry{}, entries...))
}

func (p *Platform) targets(w http.ResponseWriter, r *http.Request) {
	entries, err := p.Memory.Store().Targets(r.Context())
	if err != nil {
		writeStoreError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, append([]objectstore.TargetEntry{}, entries...))
}

func (p *Platform) setInstances(w http.ResponseWriter, r *http.Request) {
	var entries []objectstore.InstanceEntry
	if readJSON(w, r, &entries) {
		p.SetInstances(entries)
		writeJSON(w, http.StatusOK, entries)
	}
}

func (p *Platform) setTargets(w http.ResponseWriter, r *http.Request) {
	var entries []objectstore.TargetEntry
	if readJSON(w, r, &entries) {
		p.SetTargets(entries)
		writeJSON(w, http.StatusOK, entries)
	}
}

func (p *Platform) setFaults(w http.ResponseWriter, r *http.Request) {
	var faults PlatformFaults
	if readJSON(w, r, &faults) {
		p.SetFaults(faults)
		writeJSON(w, http.StatusOK, faults)
	}
}

func writeStoreError(w http.ResponseWriter, err error) {
	status, code := http.StatusInternalServerError, "internal"
	switch {
	case objectstore.ErrNotFound.Has(err):
		status, code = http.StatusNotFound, "not_found"
	case objectstore.ErrConflict.Has(err):
		status, code = http.StatusConflict, "conflict"
	case objectstore.ErrTooLarge.Has(err):
		status, code = http.StatusRequestEntityTooLarge, "too_large"
	case objectstore.ErrCompacted.Has(err):
		status, code = http.StatusGone, "compacted"
	case objectstore.ErrUnavailable.Has(err), errors.Is(err, context.Canceled):
		status, code = http.StatusServiceUnavailable, "unavailable"
	case errBadRequest.Has(err):
		status, code = http.StatusBadRequest, "invalid_request"
	}
	writeError(w, status, code, err)
}

// queryNumber parses a query parameter as a number; a missing one is zero.
func queryNumber(r *http.Request, name string) (uint64, error) {
	text := r.URL.Query().Get(name)
	if text == "" {
		return 0, nil
	}
	n, err := strconv.ParseUint(text, 10, 64)
	return n, errBadRequest.Wrap(err)
}
