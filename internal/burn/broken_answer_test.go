package burn_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"heatherrelay/internal/burn"
	"heatherrelay/internal/loopback/loopbacktest"
	"heatherrelay/internal/responsehead/headtest"
)

// TestBrokenMetricsAreAnError guards against a report on metrics that are taken from an answer
// whose head is none.
func TestBrokenMetricsAreAnError(t *testing.T) {
	const metrics = "# TYPE a counter\na 1\n"
	answers := headtest.Broken(metrics)
	answers["sound"] = headtest.Sound(metrics)
	for name, text := range answers {
		t.Run(name, func(t *testing.T) {
			address := loopbacktest.Serve(t, func(conn net.Conn) {
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					_, _ = io.WriteString(conn, text)
				}
			})
			scraper := burn.Scraper{Timeout: time.Second}
			source := burn.Source{Instance: "a", Address: address}
			if samples := scraper.Scrape(t.Context(), []burn.Source{source}); (samples[0].Error == "") != (name == "sound") {
				t.Errorf("error %q", samples[0].Error)
			}
		})
	}
}
