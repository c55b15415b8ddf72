package relayer

import (
	"context"

	"connectrpc.com/connect"
	"github.com/go-faster/errors"
	"google.golang.org/protobuf/types/known/durationpb"

	"quetzalgrade.example/quetzalgrade/internal/noter"
	"quetzalgrade.example/quetzalgrade/internal/subscriber"
	"quetzalgrade.example/quetzalgrade/pkg/schema"
)

// handler serves the requests of other daemons.
type handler struct{ *Relayer }

// Read implements schemaconnect.RelayServiceHandler. CodeOutOfRange means that the
// client needs a snapshot, CodeFailedPrecondition that it should read the topic from
// the log. Any other error means that it should look for another zone reader.
func (s *handler) Read(ctx context.Context, request *connect.Request[schema.RelayRequest]) (*connect.Response[schema.RelayResponse], error) {
	started := s.Clock()
	message := request.Msg
	topic, err := s.acceptTopic(ctx, message)
	if err != nil {
		return nil, err
	}
	page, age, err := topic.RecordsFrom(ctx, subscriber.Position{Epoch: subscriber.Epoch(message.GetEpoch()), Offset: message.GetFrom()}, min(maxWait, message.GetWait().AsDuration()))
	switch {
	case errors.Is(err, subscriber.ErrExpired):
		return nil, connect.NewError(connect.CodeOutOfRange, err)
	case errors.Is(err, subscriber.ErrUnread):
		return nil, connect.NewError(connect.CodeFailedPrecondition, err)
	case err != nil:
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	response := &schema.RelayResponse{Next: page.Next, End: page.End, Epoch: uint64(page.Epoch), Age: durationpb.New(age), Held: durationpb.New(s.Clock() - started)}
	response.Records = encodeRecords(page.Records, page.Epoch)
	s.Logger.Trace("served page to another daemon", "topic", message.GetTopic(), "from", message.GetFrom(), "next", page.Next, "age", noter.FormatDuration(age))
	return connect.NewResponse(response), nil
}

// topicRequest is a request for the records of a topic.
type topicRequest interface {
	GetZone() string
	GetReader() string
	GetTopic() string
}

// acceptTopic returns the topic of a request for records, or an error if this daemon
// does not serve it. A daemon that has just started may be the zone reader again, so
// the request waits until it knows.
func (s *handler) acceptTopic(ctx context.Context, request topicRequest) (*subscriber.Subscriber, error) {
	topic := s.topics[request.GetTopic()]
	if topic == nil || request.GetZone() != s.Zone || request.GetReader() != s.Self.Name {
		return nil, connect.NewError(connect.CodeNotFound, errors.New("request is for another zone, daemon or topic"))
	}
	s.awaitRole(ctx)
	if !s.acceptRequest() {
		return nil, connect.NewError(connect.CodeUnavailable, errors.New("this daemon is not the zone reader"))
	}
	return topic, nil
}

// acceptRequest reports whether this daemon serves others as the zone reader, and
// records the time of the request.
func (s *handler) acceptRequest() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastRequest = s.Clock()
	return (s.role == Reading || s.role == Claiming) && !s.draining.Load()
}
