package entry

import (
	"bytes"
	"net/url"
	"strings"

	"github.com/gofiber/fiber/v3"

	"heatherrelay/internal/dispatch"
	"heatherrelay/internal/refusal"
)

// requestHeaders are the caller's headers that a plain service is given.
var requestHeaders = []string{
	"Accept", "Accept-Language", "Content-Type", "Content-Language",
	"If-Match", "If-None-Match", "If-Modified-Since", "If-Unmodified-Since",
}

// replyHeaders are the service's headers that a caller is given, in lower case.
var replyHeaders = []string{
	"content-type", "content-language", "content-disposition", "etag", "last-modified",
	"location", "retry-after", "cache-control", "vary",
}

// passedRequestHeaders copies the headers that may pass to a target.
func passedRequestHeaders(c fiber.Ctx) []dispatch.Header {
	var headers []dispatch.Header
	for _, name := range requestHeaders {
		if value := c.Get(name); value != "" {
			headers = append(headers, dispatch.Header{Name: name, Value: strings.Clone(value)})
		}
	}
	return headers
}

// checkLeak refuses data for a target that holds the caller's key, plainly or
// percent-encoded.
func (r *caller) checkLeak(data []byte) error {
	if r.token == "" {
		return nil
	}
	if bytes.Contains(data, []byte(r.token)) {
		return errLeak()
	}
	if bytes.IndexByte(data, '%') < 0 {
		return nil
	}
	if plain, err := url.PathUnescape(string(data)); err == nil && strings.Contains(plain, r.token) {
		return errLeak()
	}
	return nil
}

func errLeak() error {
	return refusal.NotRun(refusal.CodeInvalidRequest, "the request holds the caller's key outside the Authorization header")
}
