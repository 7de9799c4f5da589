package fleet_test

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"testing"
	"time"

	"heatherrelay/internal/standin"
)

// Load of BenchmarkPath, and fields of /proc/PID/stat counted from zero.
const (
	benchmarkRate          = 60.0
	benchmarkDuration      = 10 * time.Second
	benchmarkTokens        = 16
	benchmarkPromptBytes   = 256
	clockTicksPerSecond    = 100
	userTicksField         = 13
	systemTicksField       = 14
	benchmarkInFlight      = 1000
	benchmarkStepTime      = "2ms"
	benchmarkMaxBatch      = "64"
	processorBenchmarkRate = 400.0
)

// BenchmarkPath measures the latency that an instance adds to streamed
// requests, compared to the same load sent directly to an engine, and the
// requests that the instances serve per second of processor time.
func BenchmarkPath(b *testing.B) {
	for _, instances := range []int{1, 2} {
		b.Run(fmt.Sprintf("instances_per_zone=%d", instances), func(b *testing.B) {
			f := &fleet{}
			startFleet(b, f, instances, 1, "--step-time", benchmarkStepTime, "--max-batch", benchmarkMaxBatch)
			engine := f.engines[zones[0]+"-engine-0"]
			directLoad := benchmarkLoad(standin.Caller{URL: "http://" + engine.String()}, benchmarkRate)
			instanceLoad := benchmarkLoad(*f.caller(f.instances[0], teamCrews), benchmarkRate)
			for b.Loop() {
				reportAddedLatency(b, directLoad.Run(b.Context()), instanceLoad.Run(b.Context()))
				reportProcessorTime(b, f)
			}
		})
	}
}

func benchmarkLoad(c standin.Caller, rate float64) *standin.LoadGenerator {
	return &standin.LoadGenerator{
		Caller:      c,
		Models:      []string{crewsAdapter},
		Rate:        rate,
		Duration:    benchmarkDuration,
		MaxTokens:   benchmarkTokens,
		PromptBytes: benchmarkPromptBytes,
		Stream:      true,
		MaxInFlight: benchmarkInFlight,
		Seed:        *faultSeed,
	}
}

func reportAddedLatency(b *testing.B, direct, viaInstance standin.LoadResult) {
	b.Helper()
	for _, r := range []standin.LoadResult{direct, viaInstance} {
		if r.Complete != r.Due {
			b.Fatalf("not all answers are complete: %+v", r)
		}
	}
	b.ReportMetric(viaInstance.FirstToken.P50MS-direct.FirstToken.P50MS, "added_first_token_p50_ms")
	b.ReportMetric(viaInstance.FirstToken.P99MS-direct.FirstToken.P99MS, "added_first_token_p99_ms")
	b.ReportMetric(viaInstance.Total.P50MS-direct.Total.P50MS, "added_total_p50_ms")
	b.ReportMetric(viaInstance.Total.P99MS-direct.Total.P99MS, "added_total_p99_ms")
	b.ReportMetric(direct.FirstToken.P50MS, "direct_first_token_p50_ms")
	b.ReportMetric(direct.FirstToken.P99MS, "direct_first_token_p99_ms")
}

// reportProcessorTime runs a larger load and reports requests and tokens per
// second of processor time of all instances.
func reportProcessorTime(b *testing.B, f *fleet) {
	b.Helper()
	load := benchmarkLoad(*f.caller(f.instances[0], teamCrews), processorBenchmarkRate)
	before := f.processorTime(b)
	result := load.Run(b.Context())
	used := f.processorTime(b) - before
	if result.Complete != result.Due {
		b.Fatalf("not all answers are complete: %+v", result)
	}
	b.ReportMetric(float64(result.Complete)/used.Seconds(), "requests/core_s")
	b.ReportMetric(float64(result.Complete*benchmarkTokens)/used.Seconds(), "tokens/core_s")
}

// processorTime returns the total processor time used by all instances.
func (f *fleet) processorTime(t testing.TB) time.Duration {
	t.Helper()
	total := 0
	for _, i := range f.instances {
		stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", i.process.cmd.Process.Pid))
		if err != nil {
			t.Fatal(err)
		}
		// The program name may contain spaces and parentheses, so fields start
		// after the last parenthesis.
		fields := bytes.Fields(stat[bytes.LastIndexByte(stat, ')')+1:])
		for _, field := range []int{userTicksField, systemTicksField} {
			ticks, err := strconv.Atoi(string(fields[field-2]))
			if err != nil {
				t.Fatal(err)
			}
			total += ticks
		}
	}
	return time.Duration(total) * time.Second / clockTicksPerSecond
}
