package standin

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"time"
)

// Order is the body of a load, evict or fence call to an engine.
type Order struct {
	Adapter       string `json:"adapter,omitempty"`
	FencingNumber uint64 `json:"fencing_number"`
}

// LoadReport describes the state of an engine at IssuedAt. An engine may serve
// a report that is not current.
type LoadReport struct {
	IssuedAt      time.Time `json:"issued_at"`
	StartedAt     time.Time `json:"started_at"`
	Slots         int       `json:"slots"`
	Resident      []string  `json:"resident"`
	Running       int       `json:"running"`
	Waiting       int       `json:"waiting"`
	MaxBatch      int       `json:"max_batch"`
	FencingNumber uint64    `json:"fencing_number"`
}

// WeightSource is where an engine fetches the weights of adapters: the weight
// store at URL or, if URL is empty, an in-process one.
type WeightSource struct {
	URL string
	// Local serves the fetches if URL is empty.
	Local WeightStore
}

func (s *WeightSource) fetch(ctx context.Context, adapter string) error {
	if s.URL == "" {
		s.Local.Fetch(ctx)
		return nil
	}
	address := s.URL + "/weights/fetch?adapter=" + url.QueryEscape(adapter)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, address, nil)
	if err != nil {
		return errWeightStore.Wrap(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return errWeightStore.Wrap(err)
	}
	if err := response.Body.Close(); err != nil {
		return errWeightStore.Wrap(err)
	}
	if response.StatusCode != http.StatusOK {
		return errWeightStore.New("status %d", response.StatusCode)
	}
	return nil
}

// LoadReport returns the last report, or a new one if the last exceeds the
// engine's maximum report age at the time now.
func (e *Engine) LoadReport(now time.Time) LoadReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.report.IssuedAt.IsZero() && now.Sub(e.report.IssuedAt) < e.LoadReportMaxAge {
		return e.report
	}
	e.report = LoadReport{
		IssuedAt:      now,
		StartedAt:     e.started,
		Slots:         e.slots(),
		Resident:      e.residents(),
		Running:       len(e.running),
		Waiting:       len(e.waiting),
		MaxBatch:      e.maxBatch(),
		FencingNumber: e.fencing,
	}
	return e.report
}

func (e *Engine) residents() []string {
	residents := []string{}
	for name, s := range e.adapters {
		if s.resident {
			residents = append(residents, name)
		}
	}
	slices.Sort(residents)
	return residents
}

// handleOrder returns a handler that decodes the order in the body, checks its
// fencing number, executes it and answers with the order.
func (e *Engine) handleOrder(execute func(ctx context.Context, adapter string) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var order Order
		if !readJSON(w, r, &order) {
			return
		}
		err := e.checkFencing(order.FencingNumber)
		if err == nil {
			err = execute(context.WithoutCancel(r.Context()), order.Adapter)
		}
		if err != nil {
			writeEngineError(w, err)
			return
		}
		writeJSON(w, http.StatusOK, order)
	}
}

// checkFencing records the highest fencing number seen. An engine with
// ChecksFencing refuses a lower one; others accept it.
func (e *Engine) checkFencing(number uint64) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if number < e.fencing && e.ChecksFencing {
		e.stats.StaleOrders++
		return fmt.Errorf("%w: %d, have seen %d", errStaleFencing, number, e.fencing)
	}
	e.fencing = max(e.fencing, number)
	return nil
}

// fence does nothing: handleOrder has recorded the fencing number already.
func (e *Engine) fence(context.Context, string) error { return nil }

// load loads an adapter into a free slot. A second load of the same adapter
// waits for the first and returns its result.
func (e *Engine) load(ctx context.Context, adapter string) error {
	if !strings.Contains(adapter, "@") {
		return errBadRequest.New("want adapter@version, have %q", adapter)
	}
	e.mu.Lock()
	if s, ok := e.adapters[adapter]; ok {
		e.mu.Unlock()
		<-s.done
		return e.checkLoaded(adapter)
	}
	if len(e.adapters) >= e.slots() {
		e.mu.Unlock()
		return errNoFreeSlot
	}
	if e.adapters == nil {
		e.adapters = map[string]*adapterSlot{}
	}
	s := &adapterSlot{done: make(chan struct{})}
	e.adapters[adapter] = s
	faults := e.faults
	e.stats.MaxLoadsInFlight = max(e.stats.MaxLoadsInFlight, len(e.adapters)-len(e.residents()))
	e.mu.Unlock()
	defer close(s.done)

	sleep(ctx, time.Duration(faults.LoadDelayMS)*time.Millisecond)
	err := e.Weights.fetch(ctx, adapter)

	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case e.adapters[adapter] != s: // The engine restarted during the load.
		err = errLoadFailed
	case err != nil || faults.FailLoads:
		delete(e.adapters, adapter)
		err = errLoadFailed
	}
	if err != nil {
		e.stats.FailedLoads++
		return err
	}
	s.resident = true
	e.stats.Loads++
	return nil
}

// checkLoaded returns an error unless the adapter is resident.
func (e *Engine) checkLoaded(adapter string) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s, ok := e.adapters[adapter]; !ok || !s.resident {
		return errLoadFailed
	}
	return nil
}

// evict unloads an adapter and breaks the streams that still use it.
func (e *Engine) evict(_ context.Context, adapter string) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s, ok := e.adapters[adapter]; !ok || !s.resident {
		return nil
	}
	delete(e.adapters, adapter)
	e.stats.Evictions++
	for _, s := range slices.Concat(e.running, e.waiting) {
		if s.model == adapter {
			e.stats.EvictedInUse++
			e.dropStream(s, errBrokenStream)
		}
	}
	return nil
}

func writeEngineError(w http.ResponseWriter, err error) {
	switch {
	case errors.Is(err, errStaleFencing):
		writeError(w, http.StatusConflict, "stale_fencing", err)
	case errors.Is(err, errNoFreeSlot):
		writeError(w, http.StatusConflict, "no_free_slot", err)
	case errors.Is(err, errLoadFailed):
		writeError(w, http.StatusServiceUnavailable, "load_failed", err)
	case errors.Is(err, errNotLoaded):
		writeError(w, http.StatusNotFound, "adapter_not_loaded", err)
	case errors.Is(err, errUnknownStream):
		writeError(w, http.StatusNotFound, "unknown_stream", err)
	case errBadRequest.Has(err):
		writeError(w, http.StatusBadRequest, "invalid_request", err)
	default:
		writeError(w, http.StatusInternalServerError, "internal", err)
	}
}
