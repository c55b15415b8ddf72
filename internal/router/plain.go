package router

import (
	"context"
	"crypto/sha256"
	"net/http"
	"net/netip"
	"time"

	"google.golang.org/protobuf/types/known/timestamppb"

	"quetzalgrade.example/quetzalgrade/internal/biller"
	"quetzalgrade.example/quetzalgrade/internal/claimer"
	"quetzalgrade.example/quetzalgrade/internal/classifier"
	"quetzalgrade.example/quetzalgrade/internal/compiler"
	"quetzalgrade.example/quetzalgrade/internal/limiter"
	"quetzalgrade.example/quetzalgrade/internal/retrier"
	"quetzalgrade.example/quetzalgrade/internal/sender"
	"quetzalgrade.example/quetzalgrade/internal/watcher"
	"quetzalgrade.example/quetzalgrade/pkg/schema"
)

const (
	// claimTimeout is the maximum time that a request waits for its claim.
	claimTimeout = 15 * time.Second
	// expectedPlainDuration is the time that a retry of a plain call is assumed
	// to take.
	expectedPlainDuration = 50 * time.Millisecond
)

// PlainRequest is a call to a plain service, which is one that does not serve a
// model.
type PlainRequest struct {
	Account *compiler.Account
	// ID is unique to the received request.
	ID      string
	Service string
	Method  string
	// Path is a path that the service declares. Query is empty or starts with
	// "?".
	Path        string
	Query       string
	ContentType string
	Body        []byte
	// IdempotencyKey is the client's idempotency key; empty for none.
	IdempotencyKey string
}

// digest returns a hash of the request's content. It detects the reuse of an
// idempotency key for a different request.
func (p PlainRequest) digest() []byte {
	hash := sha256.New()
	for _, part := range []string{p.Service, p.Method, p.Path, p.Query, string(p.Body)} {
		sum := sha256.Sum256([]byte(part))
		hash.Write(sum[:])
	}
	return hash.Sum(nil)
}

// CallPlain runs a call to a plain service. A non-idempotent call is run at most
// once for each idempotency key, or for each received request if it has no key.
func (r *Router) CallPlain(ctx context.Context, request PlainRequest) (sender.Response, Receipt, error) {
	r.counters.Requests.Add(1)
	response, receipt, err := r.callPlain(ctx, request)
	if err != nil {
		r.counters.Failed.Add(1)
		return response, receipt, err
	}
	r.counters.Completed.Add(1)
	return response, receipt, nil
}

func (r *Router) callPlain(ctx context.Context, request PlainRequest) (sender.Response, Receipt, error) {
	service, idempotent, err := r.findCall(request)
	if err != nil {
		return sender.Response{}, Receipt{}, err
	}
	release, err := r.admit(ctx, request.Account)
	if err != nil {
		return sender.Response{}, Receipt{}, err
	}
	defer release()
	if idempotent {
		return r.dispatchPlain(ctx, request, service, true, request.ID)
	}
	if request.IdempotencyKey == "" {
		return r.dispatchPlain(ctx, request, service, false, request.ID)
	}
	return r.callWithClaim(ctx, request, service)
}

func (r *Router) findCall(request PlainRequest) (service *compiler.Service, idempotent bool, err error) {
	catalog := r.config.State.Catalog()
	service = catalog.Services[request.Service]
	if service == nil || !service.Plain {
		return nil, false, classifier.New(classifier.NotFound, "there is no plain service %q", request.Service)
	}
	if !request.Account.Policy.Services.Has(request.Service) {
		return nil, false, classifier.New(classifier.Forbidden, "the account is not allowed to call service %q", request.Service)
	}
	idempotent, declared := service.LookupCall(request.Method, request.Path)
	if !declared {
		return nil, false, classifier.New(classifier.NotFound, "service %q declares no call %q", request.Service, request.Method+" "+request.Path)
	}
	return service, idempotent, nil
}

// callWithClaim runs a non-idempotent call that has an idempotency key. It first
// claims the key; if an outcome is already recorded, that outcome is replayed.
func (r *Router) callWithClaim(ctx context.Context, request PlainRequest, service *compiler.Service) (sender.Response, Receipt, error) {
	key := claimer.Key{Account: request.Account.Name, Key: request.Service + "/" + request.IdempotencyKey}
	billID := biller.ID(key.Account, "key/"+key.Key)
	claimCtx, cancel := context.WithTimeout(ctx, min(claimTimeout, timeLeft(ctx)))
	claim, outcome, err := r.config.Claimer.Acquire(claimCtx, key, request.digest(), r.config.State.Alive)
	cancel()
	if err != nil {
		return sender.Response{}, Receipt{BillID: billID}, err
	}
	if outcome != nil {
		r.counters.Replays.Add(1)
		response := sender.Response{Status: int(outcome.GetStatus()), ContentType: outcome.GetType(), Body: outcome.GetBody()}
		return response, Receipt{BillID: billID, Cost: service.Fee}, nil
	}
	response, receipt, err := r.dispatchPlain(ctx, request, service, false, "key/"+key.Key)
	switch {
	case err == nil:
		r.config.Claimer.RecordOutcome(*claim, &schema.Outcome{Status: uint32(response.Status), Type: response.ContentType, Body: response.Body, Bill: receipt.BillID})
	case classifier.FromError(err).Response().Execution == classifier.NotExecuted:
		r.config.Claimer.Release(*claim)
	default:
		r.config.Claimer.RecordOutcome(*claim, &schema.Outcome{Unknown: true, Bill: receipt.BillID})
	}
	return response, receipt, err
}

// dispatchPlain sends the call, retries it only where that is safe, and bills
// it.
func (r *Router) dispatchPlain(ctx context.Context, request PlainRequest, service *compiler.Service, idempotent bool, billKey string) (sender.Response, Receipt, error) {
	receipt := Receipt{BillID: biller.ID(request.Account.Name, billKey), Cost: service.Fee}
	reservation, err := r.config.Limiter.Reserve(ctx, request.Account, service.Fee)
	if err != nil {
		return sender.Response{}, receipt, err
	}
	if err := r.config.Biller.Reserve(); err != nil {
		r.config.Limiter.Settle(reservation, 0)
		return sender.Response{}, receipt, err
	}
	response, failure := r.attemptPlain(ctx, request, service, idempotent)
	if failure != nil {
		return sender.Response{}, receipt, r.failPlain(reservation, failure, idempotent)
	}
	r.config.Limiter.Settle(reservation, service.Fee)
	if response.Status >= http.StatusBadRequest {
		// The service rejected the call, so there is nothing to bill.
		r.config.Biller.Cancel()
		receipt.Cost = 0
		return response, receipt, nil
	}
	r.config.Biller.Record(ctx, &schema.Bill{
		Id:      receipt.BillID,
		Account: request.Account.Name,
		Service: request.Service,
		Amount:  int64(service.Fee),
		Time:    timestamppb.Now(),
	})
	return response, receipt, nil
}

// failPlain releases the reservations of a failed call and returns its error. A
// non-idempotent call that may have run gets an OutcomeUnknown error.
func (r *Router) failPlain(reservation limiter.Reservation, failure *sender.Failure, idempotent bool) error {
	r.config.Limiter.Settle(reservation, 0)
	r.config.Biller.Cancel()
	if idempotent || failure.Err.Response().Execution == classifier.NotExecuted {
		return failure.Err
	}
	return classifier.Wrap(classifier.OutcomeUnknown, failure.Err, "the call was sent but no response was received")
}

func (r *Router) attemptPlain(ctx context.Context, request PlainRequest, service *compiler.Service, idempotent bool) (sender.Response, *sender.Failure) {
	r.config.RetryBudget.RecordRequest()
	call := sender.Request{
		Method:         request.Method,
		Path:           request.Path + request.Query,
		ContentType:    request.ContentType,
		Body:           request.Body,
		IdempotencyKey: request.IdempotencyKey,
		RequestID:      request.ID,
	}
	var tried []netip.AddrPort
	lastFailure := &sender.Failure{Err: classifier.New(classifier.NoEndpoint, "no endpoint of service %q accepts requests", service.Name)}
	for number := 1; ; number++ {
		endpoint, ok := r.pickEndpoint(r.config.Watcher.ServiceEndpoints(service.Name), 0, tried)
		if !ok {
			return sender.Response{}, lastFailure
		}
		response, failure := r.config.Sender.Send(ctx, endpoint, call)
		if failure == nil {
			r.config.Watcher.End(endpoint, watcher.Result{})
			return response, nil
		}
		r.recordFailure(endpoint, failure.Err.Kind)
		tried = append(tried, endpoint)
		lastFailure = failure
		allowed := retrier.Allowed(retrier.FailedAttempt{
			Kind:             failure.Err.Kind,
			Idempotent:       idempotent,
			BytesSent:        failure.BytesSent,
			Attempts:         number,
			Remaining:        timeLeft(ctx),
			ExpectedDuration: expectedPlainDuration,
		})
		if !allowed || !r.config.RetryBudget.TrySpend() {
			return sender.Response{}, failure
		}
		r.counters.Retries.Add(1)
	}
}
