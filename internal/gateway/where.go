package gateway

import (
	"cmp"
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/julienschmidt/httprouter"
	"k8s.io/klog/v2"

	"github.com/bilberrywell/bilberrywell/fleet"
	"github.com/bilberrywell/bilberrywell/internal/router"
	"github.com/bilberrywell/bilberrywell/internal/whereapi"
)

// explainedCall is the id of a request that is explained. Ids of callers' requests count up from 1.
const explainedCall = router.CallID(math.MaxUint64)

// where explains what would become of a request that arrives now.
func (g *Gateway) where(q whereapi.Request) whereapi.Answer {
	head := g.protocol.ReadCall(q.Header())
	g.mu.Lock()
	now := g.now()
	call := callOf(explainedCall, head, q.Host, cmp.Or(q.Method, http.MethodPost), q.Path, []byte(q.Body), now)
	e := g.router.Explain(now, call)
	g.mu.Unlock()
	a := whereAnswer(e, call, wallTimes(now, time.Now()))
	a.At = time.Now().UTC().Round(time.Millisecond)
	a.Instance, a.DataCentre = fleet.InstanceID(g.settings.Instance), g.settings.DataCentre
	return a
}

// whereAnswer converts an explanation. The request's id and its API key are left out.
func whereAnswer(e router.Explanation, call router.Call, wallTime func(time.Duration) time.Time) whereapi.Answer {
	a := whereapi.Answer{
		ConfigVersion: e.ConfigVersion, Result: e.Result, MeanLoad: e.Mean, Candidates: []whereapi.Candidate{},
		Call: whereapi.Call{Host: call.Host, Path: call.Path, Customer: e.Customer, Urgency: e.Urgency, PromptTokens: call.Tokens.Prompt,
			OwnTokens: call.Tokens.Own, TimeLimitMillis: e.TimeLimit.Milliseconds()},
	}
	if call.Prompt != 0 {
		a.Call.Prompt = strconv.FormatUint(uint64(call.Prompt), 16)
	}
	for _, part := range call.PromptParts {
		a.Call.PromptParts = append(a.Call.PromptParts, strconv.FormatUint(uint64(part), 16))
	}
	if e.Route != nil {
		a.Route = &whereapi.Route{Name: e.Route.Name, Kind: e.Route.Kind.String(), Service: e.Service}
	}
	if e.Engine != "" {
		a.Choice = &whereapi.Choice{Engine: e.Engine, Reason: e.Reason.String(), FetchFrom: e.FetchFrom, Owner: e.Owner}
	}
	a.Refusal = whereRefusal(e)
	if overloaded := a.Refusal != nil && a.Refusal.Code == "overloaded"; overloaded || e.Result == router.WouldWait || e.Result == router.WouldAwaitConfig {
		a.Wait = &whereapi.Wait{Ahead: e.Wait.Ahead, TurnsPerSecond: math.Round(10*e.Wait.Rate) / 10, ExpectedMillis: e.Wait.Wait.Milliseconds(), LongestMillis: e.WaitLimit.Milliseconds()}
	}
	for _, c := range e.Candidates {
		a.Candidates = append(a.Candidates, whereCandidate(c, wallTime))
	}
	return a
}

func whereRefusal(e router.Explanation) *whereapi.Refusal {
	if e.Refusal == nil {
		return nil
	}
	return &whereapi.Refusal{Status: refusalStatus[e.Refusal.Refusal], Code: e.Refusal.Code, NotRun: e.Refusal.Refusal == router.NotRun,
		RetryAfterFromMillis: e.RetryFrom.Milliseconds(), RetryAfterToMillis: e.RetryTo.Milliseconds()}
}

func whereCandidate(c router.EngineCandidate, wallTime func(time.Duration) time.Time) whereapi.Candidate {
	w := whereapi.Candidate{
		ID: c.Engine.ID, DataCentre: c.Engine.DataCentre, Rank: c.Rank, Slots: c.Engine.Slots, Load: c.Load, LoadBound: c.LoadBound, Cost: c.Cost,
		ReadsTokens: c.Reading.Tokens, UnreadTokens: c.Reading.State.Unread, FirstEventMillis: -1,
		States: engineReasons(c.States, wallTime), Excluded: append([]string{}, c.Excluded...), Skipped: c.Skipped,
	}
	if c.Reading.Known {
		w.FirstEventMillis = c.Reading.Expected.FirstEvent.Milliseconds()
	}
	return w
}

// whereHandler answers where a request would go. Neither the request nor the answer is logged.
func whereHandler(where func(whereapi.Request) whereapi.Answer) httprouter.Handle {
	return func(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
		if err := http.NewResponseController(w).SetReadDeadline(time.Now().Add(headerTimeout)); err != nil {
			klog.V(1).InfoS("the time for a body is not bounded", "error", err)
		}
		q, err := whereapi.ReadRequest(r.Body)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		if err := json.NewEncoder(w).Encode(where(q)); err != nil {
			klog.V(1).InfoS("the explanation of a request was not sent", "error", err)
		}
	}
}
