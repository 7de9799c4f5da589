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

// The load of BenchmarkPath.
const (
	benchmarkRate      = 60.0
	benchmarkDuration  = 10 * time.Second
	benchmarkTokens    = 16
	benchmarkBytes     = 256
	clockTicksASecond  = 100
	userTicksField     = 13
	systemTicksField   = 14
	benchmarkInFlight  = 1000
	benchmarkStepTime  = "2ms"
	benchmarkMaxBatch  = "64"
	benchmarkBatchSize = 400.0
)

// BenchmarkPath measures what the path adds to a streamed request, against the
// same load sent straight to an engine, and the processor time of the
// instances for each request.
func BenchmarkPath(b *testing.B) {
	for _, instances := range []int{1, 2} {
		b.Run(fmt.Sprintf("instances_per_zone=%d", instances), func(b *testing.B) {
			f := &fleet{}
			startFleet(b, f, instances, 1, "--step-time", benchmarkStepTime, "--max-batch", benchmarkMaxBatch)
			engine := f.engines[zones[0]+"-engine-0"]
			direct := benchmarkLoad(standin.Caller{URL: "http://" + engine.String()}, benchmarkRate)
			path := benchmarkLoad(*f.caller(f.instances[0], teamCrews), benchmarkRate)
			for b.Loop() {
				reportAdded(b, direct.Run(b.Context()), path.Run(b.Context()))
				reportProcessor(b, f)
			}
		})
	}
}

func benchmarkLoad(c standin.Caller, rate float64) *standin.Load {
	return &standin.Load{
		Caller:      c,
		Models:      []string{crewsAdapter},
		Rate:        rate,
		Duration:    benchmarkDuration,
		MaxTokens:   benchmarkTokens,
		PromptBytes: benchmarkBytes,
		Stream:      true,
		MaxInFlight: benchmarkInFlight,
		Seed:        *faultSeed,
	}
}

func reportAdded(b *testing.B, direct, path standin.LoadResult) {
	b.Helper()
	for _, r := range []standin.LoadResult{direct, path} {
		if r.Complete != r.Due {
			b.Fatalf("not all answers are whole: %+v", r)
		}
	}
	b.ReportMetric(path.FirstToken.P50MS-direct.FirstToken.P50MS, "added_first_token_p50_ms")
	b.ReportMetric(path.FirstToken.P99MS-direct.FirstToken.P99MS, "added_first_token_p99_ms")
	b.ReportMetric(path.Total.P50MS-direct.Total.P50MS, "added_total_p50_ms")
	b.ReportMetric(path.Total.P99MS-direct.Total.P99MS, "added_total_p99_ms")
	b.ReportMetric(direct.FirstToken.P50MS, "direct_first_token_p50_ms")
	b.ReportMetric(direct.FirstToken.P99MS, "direct_first_token_p99_ms")
}

// reportProcessor runs a larger load and reports requests for each second of
// processor time of all instances.
func reportProcessor(b *testing.B, f *fleet) {
	b.Helper()
	load := benchmarkLoad(*f.caller(f.instances[0], teamCrews), benchmarkBatchSize)
	before := f.processorTime(b)
	result := load.Run(b.Context())
	used := f.processorTime(b) - before
	if result.Complete != result.Due {
		b.Fatalf("not all answers are whole: %+v", result)
	}
	b.ReportMetric(float64(result.Complete)/used.Seconds(), "requests/core_s")
	b.ReportMetric(float64(result.Complete*benchmarkTokens)/used.Seconds(), "tokens/core_s")
}

// processorTime returns the processor time that all instances have used.
func (f *fleet) processorTime(t testing.TB) time.Duration {
	t.Helper()
	total := 0
	for _, i := range f.instances {
		stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", i.process.cmd.Process.Pid))
		if err != nil {
			t.Fatal(err)
		}
		// The name, which may hold spaces, ends with the last parenthesis.
		fields := bytes.Fields(stat[bytes.LastIndexByte(stat, ')')+1:])
		for _, at := range []int{userTicksField, systemTicksField} {
			ticks, err := strconv.Atoi(string(fields[at-2]))
			if err != nil {
				t.Fatal(err)
			}
			total += ticks
		}
	}
	return time.Duration(total) * time.Second / clockTicksASecond
}
