package entry

import (
	"strings"

	"github.com/gofiber/fiber/v3"

	"heatherrelay/internal/dispatch"
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
