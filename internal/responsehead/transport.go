package responsehead

import (
	"net/http"

	"github.com/zeebo/errs"
)

// Transport returns the responses of another transport, and an error of class ErrMalformed in
// place of one whose status or fields the grammar does not allow, or whose body ends with its
// connection: a part of it may be a message too. The library net/http checks lines and other
// framing itself.
type Transport struct {
	http.RoundTripper
}

// RoundTrip sends a request and returns the response.
func (t Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := t.RoundTripper.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	if err := checkResponse(response); err != nil {
		return nil, errs.Combine(err, response.Body.Close())
	}
	return response, nil
}

func checkResponse(response *http.Response) error {
	if err := CheckFinalStatus(response.StatusCode); err != nil {
		return err
	}
	if response.ProtoMajor == 1 && response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
		return ErrMalformed.New("neither a length nor chunks")
	}
	for name, values := range response.Header {
		for _, value := range values {
			if err := CheckField(name, value); err != nil {
				return err
			}
		}
	}
	return nil
}
