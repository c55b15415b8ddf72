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

// operatorService implements the operator service.
type operatorService struct{ s *Server }

func (s *Server) operatorHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(schemaconnect.NewOperatorServiceHandler(&operatorService{s}, connect.WithInterceptors(bearerAuth(s.config.OperatorTokens))))
	return mux
}

// Current returns the revision in force.
func (o *operatorService) Current(context.Context, *connect.Request[schema.CurrentRequest]) (*connect.Response[schema.CurrentResponse], error) {
	return connect.NewResponse(&schema.CurrentResponse{Revision: o.s.configuration.Snapshot().revision}), nil
}

// Apply publishes a declaration and returns whether it was accepted. The
// request needs an author and a reason.
func (o *operatorService) Apply(ctx context.Context, request *connect.Request[schema.ApplyRequest]) (*connect.Response[schema.ApplyResponse], error) {
	message := request.Msg
	if message.GetAuthor() == "" || message.GetReason() == "" {
		return nil, classifier.New(classifier.BadRequest, "a change needs an author and a reason").ConnectError()
	}
	id := message.GetId()
	if id == "" {
		id = o.s.newID()
	}
	decision, err := o.s.publish(ctx, change{
		id:          id,
		declaration: message.GetDeclaration(),
		follows:     message.GetFollows(),
		author:      message.GetAuthor(),
		reason:      message.GetReason(),
	})
	if err != nil {
		return nil, classifier.FromError(err).ConnectError()
	}
	response := &schema.ApplyResponse{Accepted: decision.Accepted}
	if decision.Accepted {
		response.Revision = decision.Number
	} else {
		response.Winner = decision.Number
	}
	return connect.NewResponse(response), nil
}

// Inspect returns the state of this daemon: its members, stopped versions,
// endpoints, rollouts and versions.
func (o *operatorService) Inspect(context.Context, *connect.Request[schema.InspectRequest]) (*connect.Response[schema.InspectResponse], error) {
	s := o.s
	membership := s.members.Snapshot()
	response := &schema.InspectResponse{
		Name:      s.config.Name,
		Revision:  s.configuration.Snapshot().revision.GetNumber(),
		Unsaved:   uint32(s.biller.Unsaved()),
		Connected: s.logReachable(),
	}
	for _, member := range membership.members {
		response.Members = append(response.Members, member.Message())
	}
	for _, stop := range membership.stops {
		response.Stops = append(response.Stops, &schema.Stop{Version: stop.Version, Generation: stop.Generation, Reason: stop.Reason, Origin: stop.Origin})
	}
	for _, endpoint := range s.watcher.Endpoints() {
		response.Endpoints = append(response.Endpoints, &schema.EndpointStatus{
			Address:  endpoint.Worker.Address.String(),
			Service:  endpoint.Worker.Service,
			Zone:     endpoint.Worker.Zone,
			Inflight: uint32(max(0, endpoint.InFlight)),
			Leaving:  endpoint.Draining,
			Ejected:  endpoint.Ejected,
		})
	}
	slices.SortFunc(response.Endpoints, func(a, b *schema.EndpointStatus) int { return strings.Compare(a.GetAddress(), b.GetAddress()) })
	o.addRollouts(response)
	o.addVersions(response)
	return connect.NewResponse(response), nil
}

func (o *operatorService) addRollouts(response *schema.InspectResponse) {
	revision := o.s.configuration.Snapshot().revision
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
			Stopped: version.Withdrawn || routerViews{o.s}.Stopped(version),
		})
	}
	slices.SortFunc(response.Versions, func(a, b *schema.VersionStatus) int { return strings.Compare(a.GetVersion(), b.GetVersion()) })
}

// logReachable reports whether all followers of the log can read it.
func (s *Server) logReachable() bool {
	for _, follower := range s.followers {
		if follower.Failing() {
			return false
		}
	}
	return true
}

// Audit returns the audit trail of the configuration.
func (o *operatorService) Audit(context.Context, *connect.Request[schema.AuditRequest]) (*connect.Response[schema.AuditResponse], error) {
	response := &schema.AuditResponse{}
	for _, entry := range o.s.configuration.Snapshot().auditTrail {
		response.Entries = append(response.Entries, &schema.AuditEntry{
			Revision: entry.Number,
			Accepted: entry.Decision.Accepted,
			Change:   entry.Change,
			Follows:  entry.Follows,
		})
	}
	return connect.NewResponse(response), nil
}

// billPageSize is the maximum number of log items in one read of the bills.
const billPageSize = 500

// Bill sums the bills of an account, or of all accounts if none is given. It
// reads the bills that the log still keeps.
func (o *operatorService) Bill(ctx context.Context, request *connect.Request[schema.BillRequest]) (*connect.Response[schema.BillResponse], error) {
	account := request.Msg.GetAccount()
	if catalog := o.s.catalog(); account != "" && catalog != nil && catalog.Accounts[account] == nil {
		return nil, classifier.New(classifier.NotFound, "there is no account %q", account).ConnectError()
	}
	totals := biller.NewStatementBuilder(account, request.Msg.GetSince().AsTime())
	if err := o.readBills(ctx, totals); err != nil {
		return nil, classifier.FromError(err).ConnectError()
	}
	statement := totals.Statement()
	return connect.NewResponse(&schema.BillResponse{
		Account:  account,
		Amount:   statement.Amount,
		Requests: uint32(statement.Requests),
		Bills:    statement.Bills,
		Unsaved:  uint32(o.s.biller.Unsaved() + o.s.biller.Copies()),
	}), nil
}

// readBills applies the bills of the log to the totals. It skips items that
// cannot be decoded.
func (o *operatorService) readBills(ctx context.Context, totals *biller.StatementBuilder) error {
	offset := uint64(0)
	for {
		page, err := o.s.log.Read(ctx, biller.Stream, offset, billPageSize)
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
					totals.Apply(bill)
				}
			}
			offset = item.Offset + 1
		}
		if len(page.Items) == 0 || offset >= page.Next {
			return nil
		}
	}
}
