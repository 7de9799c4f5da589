package callerapi

import (
	"strings"

	"github.com/gofiber/fiber/v3"

	"heatherrelay/internal/dispatch"
)

// forwardedRequestHeaders are the request headers that are forwarded to a plain
// service.
var forwardedRequestHeaders = []string{
	"Accept", "Accept-Language", "Content-Type", "Content-Language",
	"If-Match", "If-None-Match", "If-Modified-Since", "If-Unmodified-Since",
}

// forwardedReplyHeaders are the response headers of a service that are forwarded
// to the caller, in lower case.
var forwardedReplyHeaders = []string{
	"content-type", "content-language", "content-disposition", "etag", "last-modified",
	"location", "retry-after", "cache-control", "vary",
}

// copyRequestHeaders returns copies of the headers in forwardedRequestHeaders.
func copyRequestHeaders(c fiber.Ctx) []dispatch.Header {
	var headers []dispatch.Header
	for _, name := range forwardedRequestHeaders {
		if value := c.Get(name); value != "" {
			headers = append(headers, dispatch.Header{Name: name, Value: strings.Clone(value)})
		}
	}
	return headers
}
