package standin

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/sourcegraph/conc"
)

// The range and precision of the latencies that a Load measures.
const (
	maxLatencyUS    = int64(10 * time.Minute / time.Microsecond)
	latencyDigits   = 3
	popularityPower = 1.1
)

// Load sends model requests at random times that do not depend on the answers,
// checks each answer as a whole, and measures from the time at which a request
// was due. Popularity of the models falls from the first to the last.
type Load struct {
	Caller
	Models []string
	// Rate is in requests a second.
	Rate      float64
	Duration  time.Duration
	MaxTokens int
	// PromptBytes is the length of each prompt.
	PromptBytes int
	Stream      bool
	// MaxInFlight bounds the requests under way; those beyond are counted and not sent.
	MaxInFlight int
	Seed        uint64

	mu         sync.Mutex
	result     LoadResult
	firstToken *hdrhistogram.Histogram
	total      *hdrhistogram.Histogram
}

// LoadResult is what became of the requests of a Load.
type LoadResult struct {
	Due    int `json:"due"`
	Sent   int `json:"sent"`
	Unsent int `json:"unsent"`
	Whole  int `json:"whole"`
	// Wrong answers ended well and are not the answer to their request.
	Wrong int `json:"wrong"`
	// Broken answers ended without an end marker or a refusal.
	Broken     int            `json:"broken"`
	Refused    map[string]int `json:"refused"`
	Seconds    float64        `json:"seconds"`
	FirstToken Latency        `json:"first_token"`
	Total      Latency        `json:"total"`
}

// Latency is the distribution of the latency of whole answers.
type Latency struct {
	P50MS float64 `json:"p50_ms"`
	P95MS float64 `json:"p95_ms"`
	P99MS float64 `json:"p99_ms"`
	MaxMS float64 `json:"max_ms"`
}

// Run sends the load and waits for all answers.
func (l *Load) Run(ctx context.Context) LoadResult {
	l.firstToken = hdrhistogram.New(1, maxLatencyUS, latencyDigits)
	l.total = hdrhistogram.New(1, maxLatencyUS, latencyDigits)
	l.result.Refused = map[string]int{}
	l.Client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: l.MaxInFlight}}
	random := rand.New(rand.NewPCG(l.Seed, 0))
	popularity := rand.NewZipf(random, popularityPower, 1, uint64(len(l.Models)-1))
	room := make(chan struct{}, l.MaxInFlight)
	var requests conc.WaitGroup
	started := time.Now()
	for due := time.Duration(0); due < l.Duration && ctx.Err() == nil; due += l.gap(random) {
		request := l.request(l.Models[popularity.Uint64()], random)
		at := started.Add(due)
		pause(ctx, time.Until(at))
		l.result.Due++
		select {
		case room <- struct{}{}:
			l.result.Sent++
			requests.Go(func() {
				defer func() { <-room }()
				l.send(ctx, request, at)
			})
		default:
			l.result.Unsent++
		}
	}
	requests.Wait()
	l.result.Seconds = time.Since(started).Seconds()
	l.result.FirstToken = latencyOf(l.firstToken)
	l.result.Total = latencyOf(l.total)
	return l.result
}

// gap returns the random time to the next arrival.
func (l *Load) gap(random *rand.Rand) time.Duration {
	return time.Duration(random.ExpFloat64() / l.Rate * float64(time.Second))
}

func (l *Load) request(model string, random *rand.Rand) CompletionRequest {
	start := fmt.Sprintf("request %d: ", random.Uint64())
	prompt := start + strings.Repeat("x", max(0, l.PromptBytes-len(start)))
	return CompletionRequest{Model: model, Prompt: prompt, MaxTokens: &l.MaxTokens, Stream: l.Stream}
}

func (l *Load) send(ctx context.Context, request CompletionRequest, due time.Time) {
	late := time.Since(due)
	reply, err := l.Complete(ctx, request)
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case err != nil:
		l.result.Broken++
	case reply.Refusal != nil:
		l.result.Refused[reply.Refusal.Code]++
	case reply.Whole(request):
		l.result.Whole++
		record(l.firstToken, late+reply.FirstToken)
		record(l.total, late+reply.Total)
	case reply.Done:
		l.result.Wrong++
	default:
		l.result.Broken++
	}
}

func record(h *hdrhistogram.Histogram, latency time.Duration) {
	// A value out of range is recorded as the highest.
	if err := h.RecordValue(latency.Microseconds()); err != nil {
		_ = h.RecordValue(maxLatencyUS)
	}
}

func latencyOf(h *hdrhistogram.Histogram) Latency {
	ms := func(us int64) float64 { return float64(us) / 1000 }
	return Latency{
		P50MS: ms(h.ValueAtQuantile(50)),
		P95MS: ms(h.ValueAtQuantile(95)),
		P99MS: ms(h.ValueAtQuantile(99)),
		MaxMS: ms(h.Max()),
	}
}
