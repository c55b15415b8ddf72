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
	// claimTimeout bounds how long a caller waits for its claim.
	claimTimeout = 15 * time.Second
	// plainExpected is the time that another attempt of a plain call is taken to
	// need.
	plainExpected = 50 * time.Millisecond
)

// PlainRequest is a call of a plain service.
type PlainRequest struct {
	Account *compiler.Account
	// ID is unique to the received request.
	ID      string
	Service string
	Method  string
	// Path is the declared path; Query is empty or starts with "?".
	Path  string
	Query string
	Type  string
	Body  []byte
	// Key is the caller's idempotency key; empty for none.
	Key string
}

// digest identifies the content of a request under its key.
func (p PlainRequest) digest() []byte {
	hash := sha256.New()
	for _, part := range []string{p.Service, p.Method, p.Path, p.Query, string(p.Body)} {
		sum := sha256.Sum256([]byte(part))
		hash.Write(sum[:])
	}
	return hash.Sum(nil)
}

// Plain runs a call of a plain service. A call that may not be repeated is
// dispatched at most once for each key, or for each received request when it
// has no key.
func (r *Router) Plain(ctx context.Context, request PlainRequest) (sender.Answer, Receipt, error) {
	r.counts.Requests.Add(1)
	answer, receipt, err := r.plain(ctx, request)
	if err != nil {
		r.counts.Failed.Add(1)
		return answer, receipt, err
	}
	r.counts.Answered.Add(1)
	return answer, receipt, nil
}

func (r *Router) plain(ctx context.Context, request PlainRequest) (sender.Answer, Receipt, error) {
	service, idempotent, err := r.findCall(request)
	if err != nil {
		return sender.Answer{}, Receipt{}, err
	}
	end, err := r.admit(ctx, request.Account)
	if err != nil {
		return sender.Answer{}, Receipt{}, err
	}
	defer end()
	if idempotent {
		return r.dispatchPlain(ctx, request, service, true, request.ID)
	}
	if request.Key == "" {
		return r.dispatchPlain(ctx, request, service, false, request.ID)
	}
	return r.claimed(ctx, request, service)
}

func (r *Router) findCall(request PlainRequest) (service *compiler.Service, idempotent bool, err error) {
	catalog := r.parts.Views.Catalog()
	service = catalog.Services[request.Service]
	if service == nil || !service.Plain {
		return nil, false, classifier.New(classifier.NotFound, "there is no plain service %q", request.Service)
	}
	if !request.Account.Policy.Services.Has(request.Service) {
		return nil, false, classifier.New(classifier.Forbidden, "the account may not call service %q", request.Service)
	}
	idempotent, known := service.Call(request.Method, request.Path)
	if !known {
		return nil, false, classifier.New(classifier.NotFound, "service %q declares no call %q", request.Service, request.Method+" "+request.Path)
	}
	return service, idempotent, nil
}

// claimed runs a keyed call that may not be repeated.
func (r *Router) claimed(ctx context.Context, request PlainRequest, service *compiler.Service) (sender.Answer, Receipt, error) {
	key := claimer.Key{Account: request.Account.Name, Key: request.Service + "/" + request.Key}
	bill := biller.ID(key.Account, "key/"+key.Key)
	claimCtx, cancel := context.WithTimeout(ctx, min(claimTimeout, timeLeft(ctx)))
	right, outcome, err := r.parts.Claimer.Acquire(claimCtx, key, request.digest(), r.parts.Views.Alive)
	cancel()
	if err != nil {
		return sender.Answer{}, Receipt{Bill: bill}, err
	}
	if outcome != nil {
		r.counts.Replays.Add(1)
		answer := sender.Answer{Status: int(outcome.GetStatus()), Type: outcome.GetType(), Body: outcome.GetBody()}
		return answer, Receipt{Bill: bill, Cost: service.Fee}, nil
	}
	answer, receipt, err := r.dispatchPlain(ctx, request, service, false, "key/"+key.Key)
	switch {
	case err == nil:
		r.parts.Claimer.Finish(*right, &schema.Outcome{Status: uint32(answer.Status), Type: answer.Type, Body: answer.Body, Bill: receipt.Bill})
	case classifier.FromError(err).Response().Execution == classifier.NotExecuted:
		r.parts.Claimer.Release(*right)
	default:
		r.parts.Claimer.Finish(*right, &schema.Outcome{Unknown: true, Bill: receipt.Bill})
	}
	return answer, receipt, err
}

// dispatchPlain sends the call, repeating it only where that is safe, and
// bills it.
func (r *Router) dispatchPlain(ctx context.Context, request PlainRequest, service *compiler.Service, idempotent bool, identity string) (sender.Answer, Receipt, error) {
	receipt := Receipt{Bill: biller.ID(request.Account.Name, identity), Cost: service.Fee}
	reservation, err := r.parts.Limiter.Reserve(ctx, request.Account, service.Fee)
	if err != nil {
		return sender.Answer{}, receipt, err
	}
	if err := r.parts.Biller.Reserve(); err != nil {
		r.parts.Limiter.Settle(reservation, 0)
		return sender.Answer{}, receipt, err
	}
	answer, failure := r.attemptPlain(ctx, request, service, idempotent)
	if failure != nil {
		return sender.Answer{}, receipt, r.abandonPlain(reservation, failure, idempotent)
	}
	r.parts.Limiter.Settle(reservation, service.Fee)
	if answer.Status >= http.StatusBadRequest {
		// The service declined the call itself; nothing was delivered to bill.
		r.parts.Biller.Cancel()
		receipt.Cost = 0
		return answer, receipt, nil
	}
	r.parts.Biller.Record(ctx, &schema.Bill{
		Id:      receipt.Bill,
		Account: request.Account.Name,
		Service: request.Service,
		Amount:  int64(service.Fee),
		Time:    timestamppb.Now(),
	})
	return answer, receipt, nil
}

// abandonPlain settles a failed call. A call that may not be repeated and
// whose outcome is unknown says so.
func (r *Router) abandonPlain(reservation limiter.Reservation, failure *sender.Failure, idempotent bool) error {
	r.parts.Limiter.Settle(reservation, 0)
	r.parts.Biller.Cancel()
	if idempotent || failure.Err.Response().Execution == classifier.NotExecuted {
		return failure.Err
	}
	return classifier.Wrap(classifier.OutcomeUnknown, failure.Err, "the call was sent but its answer did not come")
}

func (r *Router) attemptPlain(ctx context.Context, request PlainRequest, service *compiler.Service, idempotent bool) (sender.Answer, *sender.Failure) {
	r.parts.Budget.RecordRequest()
	call := sender.Call{
		Method:     request.Method,
		Path:       request.Path + request.Query,
		Type:       request.Type,
		Body:       request.Body,
		Key:        request.Key,
		Request:    request.ID,
		Idempotent: idempotent,
	}
	var tried []netip.AddrPort
	last := &sender.Failure{Err: classifier.New(classifier.NoEndpoint, "no endpoint of service %q takes work", service.Name)}
	for number := 1; ; number++ {
		endpoint, ok := r.pick(r.parts.Watcher.ServiceEndpoints(service.Name), 0, tried)
		if !ok {
			return sender.Answer{}, last
		}
		answer, failure := r.parts.Sender.Call(ctx, endpoint, call)
		if failure == nil {
			r.parts.Watcher.End(endpoint, watcher.Result{})
			return answer, nil
		}
		r.blame(endpoint, failure.Err.Kind)
		tried = append(tried, endpoint)
		last = failure
		allowed := retrier.Allowed(retrier.FailedAttempt{
			Kind:             failure.Err.Kind,
			Idempotent:       idempotent,
			BytesSent:        failure.Wrote,
			Attempts:         number,
			Remaining:        timeLeft(ctx),
			ExpectedDuration: plainExpected,
		})
		if !allowed || !r.parts.Budget.TrySpend() {
			return sender.Answer{}, failure
		}
		r.counts.Retries.Add(1)
	}
}
