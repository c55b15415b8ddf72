package connector

import (
	"net/http"

	"github.com/go-faster/errors"
	"golang.org/x/net/http/httpguts"
)

// minStatus and maxStatus are the lowest and the highest status of HTTP/1.1.
const (
	minStatus = 100
	maxStatus = 599
)

// CheckHead returns an error if the head of a response, or of an interim one, cannot be trusted: the
// parser of net/http accepts more than HTTP/1.1 allows. No part of such a response may be used.
func CheckHead(status int, header http.Header) error {
	if status < minStatus || status > maxStatus {
		return errors.Errorf("status %03d is not within %d to %d", status, minStatus, maxStatus)
	}
	if status == http.StatusSwitchingProtocols {
		return errors.New("switch to another protocol, which was not requested")
	}
	for name := range header {
		if !httpguts.ValidHeaderFieldName(name) {
			return errors.Errorf("name of a field is %q", name)
		}
	}
	return nil
}
