package gateway

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/julienschmidt/httprouter"
	"k8s.io/klog/v2"

	"github.com/bilberrywell/bilberrywell/fleet"
	"github.com/bilberrywell/bilberrywell/internal/enginesapi"
	"github.com/bilberrywell/bilberrywell/internal/router"
)

// engineStates returns a snapshot of the engines with wall-clock times.
func (g *Gateway) engineStates() enginesapi.Snapshot {
	g.mu.Lock()
	now := g.now()
	states := g.router.EngineStates(now)
	g.mu.Unlock()
	s := engineSnapshot(states, now, time.Now())
	s.Instance, s.DataCentre = fleet.InstanceID(g.settings.Instance), g.settings.DataCentre
	return s
}

// engineSnapshot converts the times of a snapshot taken at now, which was at in wall-clock time.
func engineSnapshot(states router.EngineStates, now time.Duration, at time.Time) enginesapi.Snapshot {
	wallTime := wallTimes(now, at)
	s := enginesapi.Snapshot{
		At: wallTime(now), ConfigVersion: states.ConfigVersion, FactsAgeMillis: -1, Evacuations: []enginesapi.Evacuation{}, Engines: []enginesapi.Engine{},
	}
	if states.FactsAge >= 0 {
		s.FactsAgeMillis = states.FactsAge.Milliseconds()
	}
	for _, e := range states.Evacuations {
		s.Evacuations = append(s.Evacuations, enginesapi.Evacuation{DataCentre: e.DataCentre, Since: wallTime(e.Since), Revision: e.Revision, Engines: e.Engines})
	}
	for _, e := range states.Engines {
		engine := enginesapi.Engine{
			ID: e.ID, Service: e.Service, Addr: e.Addr, DataCentre: e.DataCentre, Slots: e.Slots, Revision: e.Revision, StartedAtMillis: e.StartedAtMillis,
			Suspended: e.Suspended, State: e.State, Reasons: engineReasons(e.Reasons, wallTime), OwnRequests: e.OwnRequests, AllRequests: e.AllRequests,
		}
		s.Engines = append(s.Engines, engine)
	}
	return s
}

// wallTimes returns a function that converts times to wall-clock times. now is the time that was at in wall-clock time.
func wallTimes(now time.Duration, at time.Time) func(time.Duration) time.Time {
	return func(t time.Duration) time.Time { return at.Add(t - now).UTC().Round(time.Millisecond) }
}

func engineReasons(reasons []router.EngineReason, wallTime func(time.Duration) time.Time) []enginesapi.Reason {
	known := func(t time.Duration) *time.Time {
		if t < 0 {
			return nil
		}
		wall := wallTime(t)
		return &wall
	}
	list := []enginesapi.Reason{}
	for _, r := range reasons {
		list = append(list, enginesapi.Reason{State: r.State, Since: known(r.Since), Until: known(r.Until), Revision: r.Revision, Detail: r.Detail})
	}
	return list
}

// enginesHandler serves the state of every engine as JSON.
func enginesHandler(snapshot func() enginesapi.Snapshot) httprouter.Handle {
	return func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
		w.Header().Set("Content-Type", "application/json")
		if err := json.NewEncoder(w).Encode(snapshot()); err != nil {
			klog.V(1).InfoS("the state of the engines was not sent", "error", err)
		}
	}
}
