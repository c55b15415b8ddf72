package relayer

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"github.com/go-faster/errors"
	"google.golang.org/protobuf/types/known/durationpb"

	"quetzalgrade.example/quetzalgrade/internal/subscriber"
	"quetzalgrade.example/quetzalgrade/pkg/schema"
	"quetzalgrade.example/quetzalgrade/pkg/schema/schemaconnect"
)

// Read implements subscriber.Peer.
func (r *Relayer) Read(ctx context.Context, topic string, from subscriber.Position, wait time.Duration) (subscriber.Page, time.Duration, error) {
	message, err := callReader(ctx, r, readTimeout, func(ctx context.Context, reader *readerClients) (*schema.RelayResponse, error) {
		response, err := reader.relay.Read(ctx, connect.NewRequest(&schema.RelayRequest{
			Zone: r.Zone, Reader: reader.Name, Topic: topic, From: from.Offset, Epoch: uint64(from.Epoch), Wait: durationpb.New(wait),
		}))
		if err != nil {
			return nil, err
		}
		return response.Msg, nil
	})
	if err != nil {
		return subscriber.Page{}, 0, err
	}
	return decodePage(message), message.GetAge().AsDuration() - message.GetHeld().AsDuration(), nil
}

// readerClients call the zone reader that this daemon follows.
type readerClients struct {
	ZoneReader
	// dropped is closed when this daemon stops following the reader.
	dropped  chan struct{}
	relay    schemaconnect.RelayServiceClient
	snapshot schemaconnect.SnapshotServiceClient
}

func (r *Relayer) newReaderClients(reader ZoneReader) *readerClients {
	url := "http://" + reader.Address.String()
	bound := connect.WithReadMaxBytes(maxMessageBytes)
	return &readerClients{
		ZoneReader: reader,
		dropped:    make(chan struct{}),
		relay:      schemaconnect.NewRelayServiceClient(r.client, url, bound, connect.WithAcceptCompression("gzip", nil, nil)),
		// Snapshots are compressed already.
		snapshot: schemaconnect.NewSnapshotServiceClient(r.client, url, bound, connect.WithAcceptCompression("gzip", nil, nil)),
	}
}

// whileFollowed returns a context that ends after the timeout, or when this daemon stops
// following the reader: a call of one topic must not outlast the failure of another.
func (c *readerClients) whileFollowed(ctx context.Context, timeout time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	go func() {
		select {
		case <-c.dropped:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}

// maxReaders bounds the zone readers that one read tries.
const maxReaders = 2

// callReader makes a call to the zone reader. If the reader fails at once, it makes the
// call to the next one. It returns subscriber.ErrNoPeer if this daemon follows none.
func callReader[T any](ctx context.Context, r *Relayer, timeout time.Duration, call func(context.Context, *readerClients) (T, error)) (result T, err error) {
	for range maxReaders {
		r.awaitRole(ctx)
		r.mu.Lock()
		reader := r.readerClients
		r.mu.Unlock()
		if reader == nil {
			return result, subscriber.ErrNoPeer
		}
		callCtx, cancel := reader.whileFollowed(ctx, timeout)
		result, err = call(callCtx, reader)
		cancel()
		if err == nil {
			r.relayedReads.Add(1)
			return result, nil
		}
		switch connect.CodeOf(err) {
		case connect.CodeOutOfRange:
			return result, errors.Wrap(subscriber.ErrExpired, "read from the zone reader")
		case connect.CodeFailedPrecondition:
			return result, errors.Wrap(subscriber.ErrUnread, "read from the zone reader")
		}
		if ctx.Err() != nil {
			break
		}
		r.dropReader(reader.ZoneReader, err)
		if connect.CodeOf(err) == connect.CodeDeadlineExceeded {
			break
		}
	}
	return result, errors.Wrap(err, "read from the zone reader")
}

// decodePage converts a response of the RelayService to a page.
func decodePage(response *schema.RelayResponse) subscriber.Page {
	// Daemons of an earlier version set no end and always respond with all records.
	page := subscriber.Page{Next: response.GetNext(), End: max(response.GetNext(), response.GetEnd()), Epoch: subscriber.Epoch(response.GetEpoch())}
	page.Records = decodeRecords(response.GetRecords(), page.Epoch)
	return page
}
