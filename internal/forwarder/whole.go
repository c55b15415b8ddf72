package forwarder

import (
	"context"
	"io"
	"net/http"

	"github.com/go-faster/errors"

	"quetzalgrade.example/quetzalgrade/internal/classifier"
	"quetzalgrade.example/quetzalgrade/internal/exchanger"
	"quetzalgrade.example/quetzalgrade/internal/noter"
	"quetzalgrade.example/quetzalgrade/internal/tracker"
)

const (
	// maxBufferedBytes bounds a response that is held in memory as a whole. The body of
	// a longer one is forwarded as it arrives.
	maxBufferedBytes = 64 << 10
	// maxResponseBytes bounds the body of a response.
	maxResponseBytes = 32 << 20
)

// bufferedResponse is a response that is held in memory as a whole.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
}

// forwardWhole reads a response to its end and forwards it to the client. It
// forwards a response that is too long for that as it arrives.
func (c *call) forwardWhole(ctx context.Context, choice *tracker.Choice, response *exchanger.Response, info ResponseInfo) (attemptStatus, *bufferedResponse, *classifier.Error) {
	limit := c.bufferLimit(response)
	body, err := readBuffered(response, limit)
	if err == nil {
		err = checkResponse(response.Status, info)
	}
	deniesRun := classifier.DeniesRun(response.Status)
	isError := response.Status >= http.StatusInternalServerError || deniesRun
	if err == nil && isError && len(body) > limit && limit < maxBufferedBytes {
		limit = maxBufferedBytes
		body, err = c.readRest(response, body, limit)
	}
	if err == nil && len(body) <= limit {
		err = response.CheckEnd(ctx)
	}
	if err == nil && len(body) > limit {
		if !isError {
			return c.forwardLong(ctx, choice, response, body)
		}
		err = errors.Errorf("body of a server error exceeds %d bytes", limit)
	}
	if err != nil {
		return statusFailed, nil, c.handleBadResponse(ctx, choice, response, err)
	}
	got := &bufferedResponse{status: response.Status, header: c.Codec.ClientHeader(response.Header), body: body}
	if isError {
		c.recordResult(choice, ServerError, c.ttft, 0)
		choice.End(tracker.Failure, 0)
		c.log("endpoint returned a server error", c.endpointFields(choice, "status", response.Status)...)
		if deniesRun {
			// The endpoint has run the request, so its status must not reach the client.
			got = nil
		}
		return statusFailed, got, classifier.New(classifier.EndpointFailed, "endpoint %s failed with status %d", choice.ID, response.Status)
	}
	c.recordResult(choice, Completed, c.ttft, 0)
	c.recordWhole(response.Status)
	choice.End(tracker.Success, 0)
	response.Close()
	c.writeResponse(got)
	c.log("request served", c.endpointFields(choice, "status", response.Status, "took", noter.FormatDuration(c.ttft))...)
	return statusDone, nil, nil
}

// bufferLimit returns the length up to which the response is held as a whole, and reserves the
// memory for it.
func (c *call) bufferLimit(response *exchanger.Response) int {
	size := int64(maxBufferedBytes)
	if length := response.ContentLength(); length >= 0 {
		size = min(size, length)
	}
	if c.memory.Grow(c.held() + size) {
		return maxBufferedBytes
	}
	return streamBufferBytes
}

// readBuffered reads the body of a response, or one byte more than the limit of a longer one. It
// returns an error if the announced length is over the bound of all responses.
func readBuffered(response *exchanger.Response, limit int) ([]byte, error) {
	if length := response.ContentLength(); length > maxResponseBytes {
		return nil, errors.Errorf("body of %d bytes, at most %d are allowed", length, maxResponseBytes)
	}
	return io.ReadAll(io.LimitReader(response, int64(limit)+1))
}

// readRest reads the body of a server error on, to its end or one byte more than the limit. Unlike
// other bodies, it cannot be forwarded as it arrives, because another endpoint may still respond.
// The memory is reserved piece by piece, since the whole limit was not to be had.
func (c *call) readRest(response *exchanger.Response, body []byte, limit int) ([]byte, error) {
	piece := make([]byte, streamBufferBytes)
	for len(body) <= limit {
		if !c.memory.Grow(c.held() + int64(len(body)+len(piece))) {
			return body, errors.Errorf("no memory for more than %d bytes of a server error", len(body))
		}
		n, err := response.Read(piece[:min(len(piece), limit+1-len(body))])
		body = append(body, piece[:n]...)
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return body, err
		}
	}
	return body, nil
}

// handleBadResponse records and logs a response that is truncated, corrupt or too
// long.
func (c *call) handleBadResponse(ctx context.Context, choice *tracker.Choice, response *exchanger.Response, err error) *classifier.Error {
	c.endIncomplete(ctx, choice)
	if !c.responseStarted {
		c.checkCrash(ctx, choice, true)
	}
	c.log("response is truncated or corrupt", c.brokenFields(choice, "error", err, "status", response.Status)...)
	return classifier.Wrap(classifier.EndpointFailed, err, "the response of endpoint %s is truncated or corrupt", choice.ID)
}

// forwardLong forwards a response whose first bytes have been read. It cannot be
// retried: if it does not end well, the connection to the client is aborted.
func (c *call) forwardLong(ctx context.Context, choice *tracker.Choice, response *exchanger.Response, begin []byte) (attemptStatus, *bufferedResponse, *classifier.Error) {
	c.startResponse(response.Status, c.Codec.ClientHeader(response.Header))
	total := len(begin)
	ahead, client := c.readAhead(ctx, choice, response)
	defer ahead.stop()
	_, writeErr := client.Write(begin)
	var err error
	buffer := make([]byte, streamBufferBytes)
	for err == nil && writeErr == nil {
		var n int
		n, err = ahead.Read(buffer)
		if total += n; total > maxResponseBytes {
			err = errors.Errorf("body exceeds %d bytes", maxResponseBytes)
			break
		}
		_, writeErr = client.Write(buffer[:n])
	}
	if writeErr != nil {
		choice.End(tracker.Neutral, 0)
		return statusAborted, nil, classifier.Wrap(classifier.ClientDisconnected, writeErr, "failed to write to the client")
	}
	if !errors.Is(err, io.EOF) {
		return statusAborted, nil, c.handleBadResponse(ctx, choice, response, err)
	}
	c.recordResult(choice, Completed, c.ttft, 0)
	c.recordWhole(response.Status)
	choice.End(tracker.Success, 0)
	c.countServed()
	c.log("long response served", c.endpointFields(choice, "status", response.Status, "bytes", total)...)
	return statusDone, nil, nil
}

// writeResponse writes a buffered response to the client.
func (c *call) writeResponse(response *bufferedResponse) {
	c.countServed()
	c.startResponse(response.status, response.header)
	_, _ = newClientWriter(c.writer, c.deadline, nil).Write(response.body)
}

// startResponse writes the head of the response to the client.
func (c *call) startResponse(status int, head http.Header) {
	c.responseStarted = true
	header := c.writer.Header()
	for name, values := range head {
		header[name] = values
	}
	c.writer.WriteHeader(status)
}

// countServed counts a request whose response is complete.
func (c *call) countServed() {
	c.Counters.Served.Inc()
	c.Counters.WholeResponse.UpdateDuration(c.arrived)
}
