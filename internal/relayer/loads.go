package relayer

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"github.com/go-faster/errors"
	"google.golang.org/protobuf/types/known/durationpb"

	"quetzalgrade.example/quetzalgrade/internal/tracker"
	"quetzalgrade.example/quetzalgrade/pkg/schema"
)

const (
	// LoadExchangeInterval is the time between two exchanges of loads. A load that
	// is older than a second is of no use.
	LoadExchangeInterval = 500 * time.Millisecond
	// LoadExchangeTimeout bounds one exchange.
	LoadExchangeTimeout = 300 * time.Millisecond
)

// ShareLoads exchanges the loads of endpoints with the zone reader until ctx ends,
// and returns the error of ctx. A reader that responds to no exchange for MaxSilence has failed:
// its host may be frozen or cut off, which the reads notice only at the end of their waits. HandleSilence
// is called at each exchange without a response until then.
func (r *Relayer) ShareLoads(ctx context.Context) error {
	ticker := time.NewTicker(LoadExchangeInterval)
	defer ticker.Stop()
	// silentSince is when the first exchange of those without a response was sent, or zero.
	var silentSince time.Time
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
		sentAt := time.Now()
		reader, err := r.exchangeLoads(ctx)
		if connect.CodeOf(err) != connect.CodeDeadlineExceeded {
			silentSince = time.Time{}
			continue
		}
		if silentSince.IsZero() {
			silentSince = sentAt
		}
		if r.MaxSilence > 0 && time.Since(silentSince) >= r.MaxSilence {
			r.dropReader(reader, err)
			silentSince = time.Time{}
			continue
		}
		r.HandleSilence()
	}
}

// exchangeLoads sends the loads that this daemon has seen to the zone reader, and receives
// those of busy endpoints. An error means that the loads are not updated. It returns the reader,
// if this daemon follows one.
func (r *Relayer) exchangeLoads(ctx context.Context) (ZoneReader, error) {
	r.mu.Lock()
	reader := r.readerClients
	r.mu.Unlock()
	if reader == nil {
		return ZoneReader{}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, LoadExchangeTimeout)
	defer cancel()
	response, err := reader.relay.Loads(ctx, connect.NewRequest(&schema.LoadsRequest{
		Zone: r.Zone, Reader: reader.Name, Loads: encodeLoads(r.LoadTracker.DirectLoads()),
	}))
	if err != nil {
		r.Logger.Debug("cannot exchange endpoint loads with the zone reader", "reader", reader.Name, "error", err)
		return reader.ZoneReader, err
	}
	r.LoadTracker.MergeLoads(decodeLoads(response.Msg.GetLoads()))
	return reader.ZoneReader, nil
}

// Loads implements schemaconnect.RelayServiceHandler.
func (s *handler) Loads(_ context.Context, request *connect.Request[schema.LoadsRequest]) (*connect.Response[schema.LoadsResponse], error) {
	if request.Msg.GetZone() != s.Zone || request.Msg.GetReader() != s.Self.Name {
		return nil, connect.NewError(connect.CodeNotFound, errors.New("request is for another zone or daemon"))
	}
	if !s.acceptRequest() {
		return nil, connect.NewError(connect.CodeUnavailable, errors.New("this daemon is not the zone reader"))
	}
	s.LoadTracker.MergeLoads(decodeLoads(request.Msg.GetLoads()))
	return connect.NewResponse(&schema.LoadsResponse{Loads: encodeLoads(s.LoadTracker.BusyLoads())}), nil
}

func encodeLoads(loads []tracker.Load) []*schema.EndpointLoad {
	var encoded []*schema.EndpointLoad
	for _, load := range loads {
		encoded = append(encoded, &schema.EndpointLoad{Endpoint: load.ID, Requests: uint32(max(0, load.Requests)), Slowdown: load.Slowdown, Age: durationpb.New(load.Age)})
	}
	return encoded
}

func decodeLoads(encoded []*schema.EndpointLoad) []tracker.Load {
	var loads []tracker.Load
	for _, load := range encoded {
		loads = append(loads, tracker.Load{ID: load.GetEndpoint(), Requests: int(load.GetRequests()), Slowdown: load.GetSlowdown(), Age: load.GetAge().AsDuration()})
	}
	return loads
}
