package responsehead

import (
	"bytes"
	"net/http"
	"strconv"

	"golang.org/x/net/http/httpguts"
)

// The status codes that RFC 9110 defines as valid. Those below minFinalStatus are
// informational.
const (
	minStatus      = 100
	minFinalStatus = 200
	maxStatus      = 599
)

// CheckFinalStatus checks the status of a response, which is not informational. The error is
// of class ErrMalformed.
func CheckFinalStatus(status int) error {
	if status < minFinalStatus || status > maxStatus {
		return ErrMalformed.New("status code %d", status)
	}
	return nil
}

// checkStatusLine checks the first line of a head: version, status code and reason phrase,
// which may be empty or left out.
func (c *checker) checkStatusLine(line []byte) error {
	version, rest, _ := bytes.Cut(line, []byte(" "))
	if string(version) != "HTTP/1.1" && string(version) != "HTTP/1.0" {
		return ErrMalformed.New("version in status line %.64q", line)
	}
	code, reason, _ := bytes.Cut(rest, []byte(" "))
	status, err := strconv.ParseUint(string(code), 10, 16)
	if err != nil || len(code) != 3 || status < minStatus || status > maxStatus {
		return ErrMalformed.New("status code in status line %.64q", line)
	}
	if status == http.StatusSwitchingProtocols {
		return ErrMalformed.New("status %d without a request to switch", status)
	}
	if !httpguts.ValidHeaderFieldValue(string(reason)) {
		return ErrMalformed.New("reason phrase in status line %.64q", line)
	}
	c.status = int(status)
	c.framing.earlierVersion = string(version) == "HTTP/1.0"
	return nil
}
