package callerapi_test

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
	ts := start(t, func(ts *testServer) {
		ts.TLS = &tls.Config{Certificates: other.TLS.Certificates, MinVersion: tls.VersionTLS12}
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
		request, err := http.NewRequest(http.MethodPost, strings.Replace(ts.url, "http:", "https:", 1)+"/v1/completions", strings.NewReader(c.body))
		if err != nil {
			t.Fatal(err)
		}
		request.Header.Set("Authorization", "Bearer "+callerKey)
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
	untrusted, err := http.Get(strings.Replace(ts.url, "http:", "https:", 1) + "/livez")
	if err == nil {
		_ = untrusted.Body.Close()
		t.Error("a client that does not trust the certificate got an answer")
	}
}
