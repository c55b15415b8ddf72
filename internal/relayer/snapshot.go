package relayer

import (
	"bytes"
	"compress/gzip"
	"context"
	"io"
	"time"

	"connectrpc.com/connect"
	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	"quetzalgrade.example/quetzalgrade/internal/subscriber"
	"quetzalgrade.example/quetzalgrade/pkg/schema"
)

const (
	// snapshotWait is how long the zone reader may hold a request for a snapshot while
	// it reads the topic itself, and snapshotSlack how much longer the response may
	// take.
	snapshotWait  = 500 * time.Millisecond
	snapshotSlack = time.Second
	// maxSnapshotAge is how long an encoded snapshot serves further requests.
	maxSnapshotAge = 2 * time.Second
	// maxSnapshotBytes bounds a snapshot after decompression.
	maxSnapshotBytes = 32 << 20
)

// Newest implements subscriber.Peer. A daemon that has just started waits until it
// knows the zone reader.
func (r *Relayer) Newest(ctx context.Context, topic string) (snapshot subscriber.Snapshot, lag time.Duration, err error) {
	message, err := callReader(ctx, r, snapshotWait+snapshotSlack, func(ctx context.Context, reader *readerClients) (*schema.SnapshotResponse, error) {
		response, err := reader.snapshot.Newest(ctx, connect.NewRequest(&schema.SnapshotRequest{Zone: r.Zone, Reader: reader.Name, Topic: topic}))
		if err != nil {
			return nil, err
		}
		return response.Msg, nil
	})
	if err != nil {
		return subscriber.Snapshot{}, 0, err
	}
	snapshot.Next = subscriber.Position{Epoch: subscriber.Epoch(message.GetEpoch()), Offset: message.GetNext()}
	// Daemons of an earlier version don't say.
	snapshot.SinceRestore = max(0, message.GetSinceRestore().AsDuration())
	if snapshot.Records, err = unpackRecords(message.GetRecords(), snapshot.Next.Epoch); err != nil {
		return subscriber.Snapshot{}, 0, err
	}
	return snapshot, message.GetAge().AsDuration() - message.GetHeld().AsDuration(), nil
}

// snapshotCache holds the encoded snapshot of a topic for the daemons that ask at
// about the same time.
type snapshotCache struct {
	// lock holds a value while the snapshot is used or taken, which may take a while.
	lock    chan struct{}
	encoded []byte
	// next and verifiedAt belong to the snapshot, encodedAt is when it was taken.
	next       subscriber.Position
	verifiedAt time.Duration
	encodedAt  time.Duration
	// sinceRestore is the snapshot's time since the log's restore, or 0 if none is known.
	sinceRestore time.Duration
}

func newSnapshotCache() *snapshotCache { return &snapshotCache{lock: make(chan struct{}, 1)} }

// Newest implements schemaconnect.SnapshotServiceHandler. CodeFailedPrecondition means
// that the client should read the topic from the log, as for Read.
func (s *handler) Newest(ctx context.Context, request *connect.Request[schema.SnapshotRequest]) (*connect.Response[schema.SnapshotResponse], error) {
	started := s.Clock()
	topic, err := s.acceptTopic(ctx, request.Msg)
	if err != nil {
		return nil, err
	}
	response, err := s.snapshots[topic.Name()].response(ctx, topic, s.Clock)
	if err != nil {
		return nil, connect.NewError(connect.CodeFailedPrecondition, err)
	}
	response.Held = durationpb.New(s.Clock() - started)
	return connect.NewResponse(response), nil
}

// response returns the encoded snapshot of the topic. It takes a new one if the last
// one is old or the records since then are no longer buffered.
func (c *snapshotCache) response(ctx context.Context, topic *subscriber.Subscriber, clock subscriber.Clock) (*schema.SnapshotResponse, error) {
	select {
	case c.lock <- struct{}{}:
		defer func() { <-c.lock }()
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if c.encoded == nil || clock()-c.encodedAt > maxSnapshotAge || !topic.CoversFrom(c.next) {
		snapshot, err := topic.Snapshot(ctx, snapshotWait)
		if err != nil {
			return nil, err
		}
		if c.encoded, err = packRecords(snapshot.Records, snapshot.Next.Epoch); err != nil {
			return nil, err
		}
		c.next, c.verifiedAt, c.encodedAt, c.sinceRestore = snapshot.Next, snapshot.VerifiedAt, clock(), snapshot.SinceRestore
	}
	response := &schema.SnapshotResponse{Records: c.encoded, Next: c.next.Offset, Epoch: uint64(c.next.Epoch), Age: durationpb.New(clock() - c.verifiedAt)}
	if c.sinceRestore > 0 {
		response.SinceRestore = durationpb.New(c.sinceRestore + clock() - c.encodedAt)
	}
	return response, nil
}

// packRecords encodes and compresses the records of a message of the epoch.
func packRecords(records []subscriber.Record, epoch subscriber.Epoch) ([]byte, error) {
	data, err := proto.Marshal(&schema.SnapshotRecords{Records: encodeRecords(records, epoch)})
	if err != nil {
		return nil, errors.Wrap(err, "encode snapshot")
	}
	var packed bytes.Buffer
	writer, err := gzip.NewWriterLevel(&packed, gzip.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(err, "compress snapshot")
	}
	if _, err := writer.Write(data); err != nil {
		return nil, errors.Wrap(err, "compress snapshot")
	}
	if err := writer.Close(); err != nil {
		return nil, errors.Wrap(err, "compress snapshot")
	}
	return packed.Bytes(), nil
}

// unpackRecords reverses packRecords.
func unpackRecords(packed []byte, epoch subscriber.Epoch) ([]subscriber.Record, error) {
	reader, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, errors.Wrap(err, "decompress snapshot")
	}
	data, err := io.ReadAll(io.LimitReader(reader, maxSnapshotBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "decompress snapshot")
	}
	if len(data) > maxSnapshotBytes {
		return nil, errors.Errorf("snapshot exceeds %d bytes", maxSnapshotBytes)
	}
	message := &schema.SnapshotRecords{}
	if err := proto.Unmarshal(data, message); err != nil {
		return nil, errors.Wrap(err, "decode snapshot")
	}
	return decodeRecords(message.GetRecords(), epoch), nil
}

// encodeRecords encodes the records of a message of the epoch.
func encodeRecords(records []subscriber.Record, epoch subscriber.Epoch) []*schema.RelayRecord {
	var encoded []*schema.RelayRecord
	for _, record := range records {
		message := &schema.RelayRecord{Key: record.Key, Value: record.Value, Offset: record.Offset}
		if record.Epoch != epoch {
			message.Epoch = uint64(record.Epoch)
		}
		encoded = append(encoded, message)
	}
	return encoded
}

// decodeRecords reverses encodeRecords.
func decodeRecords(encoded []*schema.RelayRecord, epoch subscriber.Epoch) []subscriber.Record {
	var records []subscriber.Record
	for _, message := range encoded {
		record := subscriber.Record{Key: message.GetKey(), Value: message.GetValue(), Offset: message.GetOffset(), Epoch: epoch}
		if message.GetEpoch() != 0 {
			record.Epoch = subscriber.Epoch(message.GetEpoch())
		}
		records = append(records, record)
	}
	return records
}
