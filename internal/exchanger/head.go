package exchanger

import (
	"net/http"
	"strings"

	"github.com/go-faster/errors"

	"quetzalgrade.example/quetzalgrade/internal/connector"
)

// errHeadInHead is the error of a head that holds the beginning of another one.
var errHeadInHead = errors.New("another response begins inside the head of the response")

// checkHead returns an error if the head cannot be trusted; see connector.CheckHead. It also returns one if
// another response begins inside a line of the head: the endpoint stopped there. What follows, with the
// length of the body, belongs to the other response.
func checkHead(response *http.Response) error {
	if err := connector.CheckHead(response.StatusCode, response.Header); err != nil {
		return err
	}
	if HoldsStatusLine(response.Status) {
		return errHeadInHead
	}
	for _, values := range response.Header {
		for _, value := range values {
			if HoldsStatusLine(value) {
				return errHeadInHead
			}
		}
	}
	return nil
}

// HoldsStatusLine reports whether the beginning of a response, such as "HTTP/1.1 500", is in the
// text. An endpoint that has stopped inside a response may send another one after it.
func HoldsStatusLine(text string) bool {
	for {
		_, rest, found := strings.Cut(text, "HTTP/1.")
		if !found {
			return false
		}
		if len(rest) >= 5 && isDigits(rest[:1]) && rest[1] == ' ' && isDigits(rest[2:5]) {
			return true
		}
		text = rest
	}
}

// isDigits reports whether the text consists of decimal digits.
func isDigits(text string) bool { return strings.Trim(text, "0123456789") == "" }
