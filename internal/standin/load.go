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

// maxLatencyUS and latencyDigits are the range, in microseconds, and the
// significant digits of the latency histograms; zipfExponent is the exponent of
// the Zipf distribution from which models are drawn.
const (
	maxLatencyUS  = int64(10 * time.Minute / time.Microsecond)
	latencyDigits = 3
	zipfExponent  = 1.1
)

// LoadGenerator generates open-loop traffic: it sends model requests at random
// times that do not depend on the answers and checks each answer in full.
// Latencies are measured from the time at which a request was due, not from
// when it was sent. Models are drawn from a Zipf distribution; the first is the
// most popular.
type LoadGenerator struct {
	Caller
	Models []string
	// Rate is the mean number of requests per second.
	Rate      float64
	Duration  time.Duration
	MaxTokens int
	// PromptBytes is the length of each prompt in bytes.
	PromptBytes int
	Stream      bool
	// MaxInFlight bounds the requests in flight; requests beyond it are counted
	// as unsent.
	MaxInFlight int
	Seed        uint64

	mu         sync.Mutex
	result     LoadResult
	firstToken *hdrhistogram.Histogram
	total      *hdrhistogram.Histogram
}

// LoadResult counts the requests by outcome and holds their latencies.
type LoadResult struct {
	Due      int `json:"due"`
	Sent     int `json:"sent"`
	Unsent   int `json:"unsent"`
	Complete int `json:"whole"`
	// Wrong counts answers that ended normally with text or a model that doesn't
	// match the request.
	Wrong int `json:"wrong"`
	// Broken counts answers that ended with neither an end marker nor a refusal.
	Broken     int            `json:"broken"`
	Refused    map[string]int `json:"refused"`
	Seconds    float64        `json:"seconds"`
	FirstToken Latency        `json:"first_token"`
	Total      Latency        `json:"total"`
}

// Latency holds percentiles of the latency of complete answers, in
// milliseconds.
type Latency struct {
	P50MS float64 `json:"p50_ms"`
	P95MS float64 `json:"p95_ms"`
	P99MS float64 `json:"p99_ms"`
	MaxMS float64 `json:"max_ms"`
}

// Run sends requests for the given duration and waits for all answers.
func (l *LoadGenerator) Run(ctx context.Context) LoadResult {
	l.firstToken = hdrhistogram.New(1, maxLatencyUS, latencyDigits)
	l.total = hdrhistogram.New(1, maxLatencyUS, latencyDigits)
	l.result.Refused = map[string]int{}
	l.Client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: l.MaxInFlight}}
	random := rand.New(rand.NewPCG(l.Seed, 0))
	popularity := rand.NewZipf(random, zipfExponent, 1, uint64(len(l.Models)-1))
	semaphore := make(chan struct{}, l.MaxInFlight)
	var requests conc.WaitGroup
	started := time.Now()
	for due := time.Duration(0); due < l.Duration && ctx.Err() == nil; due += l.interarrivalTime(random) {
		request := l.newRequest(l.Models[popularity.Uint64()], random)
		at := started.Add(due)
		sleep(ctx, time.Until(at))
		l.result.Due++
		select {
		case semaphore <- struct{}{}:
			l.result.Sent++
			requests.Go(func() {
				defer func() { <-semaphore }()
				l.sendRequest(ctx, request, at)
			})
		default:
			l.result.Unsent++
		}
	}
	requests.Wait()
	l.result.Seconds = time.Since(started).Seconds()
	l.result.FirstToken = newLatency(l.firstToken)
	l.result.Total = newLatency(l.total)
	return l.result
}

// interarrivalTime draws the time until the next request is due.
func (l *LoadGenerator) interarrivalTime(random *rand.Rand) time.Duration {
	return time.Duration(random.ExpFloat64() / l.Rate * float64(time.Second))
}

func (l *LoadGenerator) newRequest(model string, random *rand.Rand) CompletionRequest {
	start := fmt.Sprintf("request %d: ", random.Uint64())
	prompt := start + strings.Repeat("x", max(0, l.PromptBytes-len(start)))
	return CompletionRequest{Model: model, Prompt: prompt, MaxTokens: &l.MaxTokens, Stream: l.Stream}
}

func (l *LoadGenerator) sendRequest(ctx context.Context, request CompletionRequest, due time.Time) {
	startDelay := time.Since(due)
	reply, err := l.Complete(ctx, request)
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case err != nil:
		l.result.Broken++
	case reply.Refusal != nil:
		l.result.Refused[reply.Refusal.Code]++
	case reply.IsComplete(request):
		l.result.Complete++
		recordLatency(l.firstToken, startDelay+reply.FirstToken)
		recordLatency(l.total, startDelay+reply.Total)
	case reply.Done:
		l.result.Wrong++
	default:
		l.result.Broken++
	}
}

func recordLatency(h *hdrhistogram.Histogram, latency time.Duration) {
	// An out-of-range value is recorded as the maximum.
	if err := h.RecordValue(latency.Microseconds()); err != nil {
		_ = h.RecordValue(maxLatencyUS)
	}
}

func newLatency(h *hdrhistogram.Histogram) Latency {
	ms := func(us int64) float64 { return float64(us) / 1000 }
	return Latency{
		P50MS: ms(h.ValueAtQuantile(50)),
		P95MS: ms(h.ValueAtQuantile(95)),
		P99MS: ms(h.ValueAtQuantile(99)),
		MaxMS: ms(h.Max()),
	}
}
