package server

import (
	"context"
	"net/http"
	"slices"
	"strings"

	"connectrpc.com/connect"

	"quetzalgrade.example/quetzalgrade/internal/biller"
	"quetzalgrade.example/quetzalgrade/internal/classifier"
	"quetzalgrade.example/quetzalgrade/internal/journaler"
	"quetzalgrade.example/quetzalgrade/pkg/schema"
	"quetzalgrade.example/quetzalgrade/pkg/schema/schemaconnect"
)

// operatorService implements what operators ask.
type operatorService struct{ s *Server }

func (s *Server) operatorHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(schemaconnect.NewOperatorServiceHandler(&operatorService{s}, connect.WithInterceptors(bearer(s.config.OperatorTokens))))
	return mux
}

// Current implements the operator service.
func (o *operatorService) Current(context.Context, *connect.Request[schema.CurrentRequest]) (*connect.Response[schema.CurrentResponse], error) {
	return connect.NewResponse(&schema.CurrentResponse{Revision: o.s.settings.Snapshot().revision}), nil
}

// Apply implements the operator service.
func (o *operatorService) Apply(ctx context.Context, request *connect.Request[schema.ApplyRequest]) (*connect.Response[schema.ApplyResponse], error) {
	message := request.Msg
	if message.GetAuthor() == "" || message.GetReason() == "" {
		return nil, classifier.New(classifier.BadRequest, "a change needs an author and a reason").ConnectError()
	}
	id := message.GetId()
	if id == "" {
		id = o.s.newID()
	}
	verdict, err := o.s.publish(ctx, change{
		id:          id,
		declaration: message.GetDeclaration(),
		follows:     message.GetFollows(),
		author:      message.GetAuthor(),
		reason:      message.GetReason(),
	})
	if err != nil {
		return nil, classifier.FromError(err).ConnectError()
	}
	response := &schema.ApplyResponse{Accepted: verdict.Accepted}
	if verdict.Accepted {
		response.Revision = verdict.Number
	} else {
		response.Winner = verdict.Number
	}
	return connect.NewResponse(response), nil
}

// Inspect implements the operator service.
func (o *operatorService) Inspect(context.Context, *connect.Request[schema.InspectRequest]) (*connect.Response[schema.InspectResponse], error) {
	s := o.s
	view := s.members.Snapshot()
	response := &schema.InspectResponse{
		Name:      s.config.Name,
		Revision:  s.settings.Snapshot().revision.GetNumber(),
		Unsaved:   uint32(s.biller.Unsaved()),
		Connected: s.connected(),
	}
	for _, member := range view.members {
		response.Members = append(response.Members, member.Message())
	}
	for _, stop := range view.stops {
		response.Stops = append(response.Stops, &schema.Stop{Version: stop.Version, Generation: stop.Generation, Reason: stop.Reason, Origin: stop.Origin})
	}
	for _, endpoint := range s.watcher.Endpoints() {
		response.Endpoints = append(response.Endpoints, &schema.EndpointStatus{
			Address:  endpoint.Worker.Address.String(),
			Service:  endpoint.Worker.Service,
			Zone:     endpoint.Worker.Zone,
			Inflight: uint32(max(0, endpoint.InFlight)),
			Leaving:  endpoint.Leaving,
			Ejected:  endpoint.Ejected,
		})
	}
	slices.SortFunc(response.Endpoints, func(a, b *schema.EndpointStatus) int { return strings.Compare(a.GetAddress(), b.GetAddress()) })
	o.addRollouts(response)
	o.addVersions(response)
	return connect.NewResponse(response), nil
}

func (o *operatorService) addRollouts(response *schema.InspectResponse) {
	revision := o.s.settings.Snapshot().revision
	for _, status := range o.s.roller.Status() {
		response.Rollouts = append(response.Rollouts, &schema.RolloutStatus{
			Name:    status.Rollout.Name,
			Rollout: revision.GetDeclaration().GetRollouts()[status.Rollout.Name],
			Pairs:   status.Evidence.Count,
			Worse:   status.Evidence.WorseLogWealth(),
			Better:  status.Evidence.BetterLogWealth(),
			Exposed: uint32(status.Exposed),
		})
	}
	slices.SortFunc(response.Rollouts, func(a, b *schema.RolloutStatus) int { return strings.Compare(a.GetName(), b.GetName()) })
}

func (o *operatorService) addVersions(response *schema.InspectResponse) {
	catalog := o.s.catalog()
	if catalog == nil {
		return
	}
	estimates := o.s.estimates.Snapshot()
	for id, version := range catalog.Versions {
		quality := estimates.Quality(version, "normal")
		response.Versions = append(response.Versions, &schema.VersionStatus{
			Version: id.String(),
			Mean:    quality.Mean,
			Lower:   quality.Lower,
			Ratings: uint64(quality.Count),
			Stopped: version.Withdrawn || views{o.s}.Stopped(version),
		})
	}
	slices.SortFunc(response.Versions, func(a, b *schema.VersionStatus) int { return strings.Compare(a.GetVersion(), b.GetVersion()) })
}

// connected reports whether the log answers.
func (s *Server) connected() bool {
	for _, follower := range s.followers {
		if follower.Failing() {
			return false
		}
	}
	return true
}

// Audit implements the operator service.
func (o *operatorService) Audit(context.Context, *connect.Request[schema.AuditRequest]) (*connect.Response[schema.AuditResponse], error) {
	response := &schema.AuditResponse{}
	for _, entry := range o.s.settings.Snapshot().trail {
		response.Entries = append(response.Entries, &schema.AuditEntry{
			Revision: entry.Number,
			Accepted: entry.Verdict.Accepted,
			Change:   entry.Change,
			Follows:  entry.Follows,
		})
	}
	return connect.NewResponse(response), nil
}

const billReadLimit = 500

// Bill implements the operator service. It reads the bills that the log keeps.
func (o *operatorService) Bill(ctx context.Context, request *connect.Request[schema.BillRequest]) (*connect.Response[schema.BillResponse], error) {
	account := request.Msg.GetAccount()
	if catalog := o.s.catalog(); account != "" && catalog != nil && catalog.Accounts[account] == nil {
		return nil, classifier.New(classifier.NotFound, "there is no account %q", account).ConnectError()
	}
	fold := biller.NewStatementBuilder(account, request.Msg.GetSince().AsTime())
	if err := o.foldBills(ctx, fold); err != nil {
		return nil, classifier.FromError(err).ConnectError()
	}
	statement := fold.Statement()
	return connect.NewResponse(&schema.BillResponse{
		Account:  account,
		Amount:   statement.Amount,
		Requests: uint32(statement.Requests),
		Bills:    statement.Bills,
		Unsaved:  uint32(o.s.biller.Unsaved() + o.s.biller.Copies()),
	}), nil
}

func (o *operatorService) foldBills(ctx context.Context, fold *biller.StatementBuilder) error {
	position := uint64(0)
	for {
		page, err := o.s.log.Read(ctx, biller.Stream, position, billReadLimit)
		if err != nil {
			return err
		}
		for _, item := range page.Items {
			records, err := journaler.Decode(item.Data)
			if err != nil {
				continue
			}
			for _, record := range records {
				if bill := record.GetBill(); bill != nil {
					fold.Apply(bill)
				}
			}
			position = item.Offset + 1
		}
		if len(page.Items) == 0 || position >= page.Next {
			return nil
		}
	}
}
