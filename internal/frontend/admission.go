package frontend

import (
	"math/rand/v2"
	"time"

	"github.com/cranberryhinge/cranberryhinge/internal/admission"
	"github.com/cranberryhinge/cranberryhinge/internal/peer/peerpb"
	"github.com/cranberryhinge/cranberryhinge/internal/verdict"
)

// admissionRequest returns a request as the throttle sees it. ok is false for statements
// of open transactions, which are never throttled, and while the server is not known.
func (o *operation) admissionRequest(req *peerpb.ExecuteRequest) (r admission.Request, ok bool) {
	r = admission.Request{
		Server: req.GetServer(), Customer: req.GetCustomer(), Priority: int(req.GetPriority()),
		Transaction: req.GetBeginText() != "",
		Wait:        time.Duration(req.GetWaitUs()) * time.Microsecond,
	}
	if req.GetPrimary() {
		r.Server = o.s.f.opt.Fleet.View(o.route.Group).Primary
	}
	return r, r.Server != "" && req.GetTransaction() == 0
}

// admit refuses a request that the home host of its server would most likely refuse.
func (o *operation) admit(req *peerpb.ExecuteRequest) error {
	r, ok := o.admissionRequest(req)
	if !ok {
		return nil
	}
	f := o.s.f
	now := o.now()
	o.addLoad(now, &r)
	f.mu.Lock()
	admitted := f.throttle.Admit(now, r, rand.Float64())
	f.mu.Unlock()
	if admitted {
		return nil
	}
	o.refusedHere = true
	f.opt.Counters.Add("requests_throttled", 1)
	return verdict.New(verdict.NotRun, verdict.DeadlineExpected, "throttled: the home host of backend server %s refuses most requests; its load is known: %t, for %v; %d requests wait",
		r.Server, r.LoadKnown, r.LoadAge.Round(time.Millisecond), r.Load.Waiting)
}

// addLoad adds what is known of the load of the request's server.
func (o *operation) addLoad(now time.Duration, r *admission.Request) {
	r.Load, r.LoadAge, r.LoadKnown = o.s.f.opt.Loads.Get(now, r.Server)
}

// recordAdmission records whether the home host accepted a request.
func (o *operation) recordAdmission(req *peerpb.ExecuteRequest, err error) {
	if !o.s.f.opt.ContentionControl {
		return
	}
	r, ok := o.admissionRequest(req)
	if !ok {
		return
	}
	accepted := true
	if err != nil {
		switch verdict.From(err).Reason {
		case verdict.DeadlineExpected, verdict.DeadlineExceeded, verdict.QueueFull:
			accepted = false
		}
	}
	f := o.s.f
	f.mu.Lock()
	defer f.mu.Unlock()
	f.throttle.Record(o.now(), r, accepted)
}
