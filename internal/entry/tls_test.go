package entry_test

import (
	"crypto/tls"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

func TestTLS(t *testing.T) {
	other := httptest.NewTLSServer(http.NotFoundHandler())
	defer other.Close()
	b := start(t, func(b *bench) {
		b.TLS = &tls.Config{Certificates: other.TLS.Certificates, MinVersion: tls.VersionTLS12}
	})
	cases := []struct {
		body   string
		status int
		want   string
	}{
		{`{"model":"mowing@1","prompt":"p","stream":true}`, http.StatusOK, "data: [DONE]"},
		{strings.Repeat("x", 1<<20), http.StatusRequestEntityTooLarge, "body_too_large"},
	}
	for _, c := range cases {
		request, err := http.NewRequest(http.MethodPost, strings.Replace(b.url, "http:", "https:", 1)+"/v1/completions", strings.NewReader(c.body))
		if err != nil {
			t.Fatal(err)
		}
		request.Header.Set("Authorization", "Bearer "+secret)
		response, err := other.Client().Do(request)
		if err != nil {
			t.Fatal(err)
		}
		text, err := io.ReadAll(response.Body)
		if err != nil {
			t.Fatal(err)
		}
		_ = response.Body.Close()
		if response.StatusCode != c.status || !strings.Contains(string(text), c.want) {
			t.Errorf("answer = %d %s", response.StatusCode, text)
		}
	}
	stranger, err := http.Get(strings.Replace(b.url, "http:", "https:", 1) + "/livez")
	if err == nil {
		_ = stranger.Body.Close()
		t.Error("a client that does not know the authority got an answer")
	}
}
