package demo

import (
	"time"

	"github.com/bilberrywell/bilberrywell/internal/standin/enginesim"
	"github.com/bilberrywell/bilberrywell/internal/standin/servicesim"
	"github.com/bilberrywell/bilberrywell/internal/standin/simutil"
	"github.com/bilberrywell/bilberrywell/platform/standin"
)

const loopback = "127.0.0.1:0"

// Timings of the demo's engines. They keep a whole run under half a minute.
const (
	tokensPerSecond = 40
	firstToken      = 20 * time.Millisecond
	prefillPerToken = 100 * time.Microsecond
	loadLag         = 200 * time.Millisecond
	eventLag        = 500 * time.Millisecond
	eventDrop       = 0.05
	callDelay       = 20 * time.Millisecond
	// storeWrites and storeReads are the calls per second that the stand-in of the store carries out.
	storeWrites = 300
	storeReads  = 2000
)

// World is the outside of a fleet: the platform, the engines and the services.
type World struct {
	Store    *standin.Server
	Engines  map[string]*enginesim.Engine
	Services map[string]*servicesim.Service
	// Addrs maps the addresses in the example's files to those served.
	Addrs   map[string]string
	servers []*simutil.Server
}

// NewWorld serves the stand-ins of an example on free loopback ports.
func NewWorld(example *Example) (*World, error) {
	w := &World{
		Engines:  map[string]*enginesim.Engine{},
		Services: map[string]*servicesim.Service{},
		Addrs:    map[string]string{},
	}
	store, err := standin.ServeStore(loopback)
	if err != nil {
		return nil, err
	}
	w.Store = store
	w.Store.SetRates(standin.Rates{Writes: storeWrites, Reads: storeReads})
	for _, service := range example.Services {
		if err := w.startEngines(service); err != nil {
			w.Close()
			return nil, err
		}
	}
	return w, nil
}

func (w *World) startEngines(service *Service) error {
	for i, engine := range service.Engines {
		var server *simutil.Server
		var err error
		if service.Kind == kindChat {
			w.Engines[engine.ID] = enginesim.New(engineOptions(service, engine, uint64(i)))
			server, err = w.keep(w.Engines[engine.ID].Start(loopback))
		} else {
			options := servicesim.Options{ID: engine.ID, Delay: callDelay, Idempotent: engine.ChecksKeys, Slots: engine.Slots}
			w.Services[engine.ID] = servicesim.New(options)
			server, err = w.keep(w.Services[engine.ID].Start(loopback))
		}
		if err != nil {
			return err
		}
		w.Addrs[engine.Addr] = server.Addr
	}
	return nil
}

func engineOptions(service *Service, engine *Engine, seed uint64) enginesim.Options {
	return enginesim.Options{
		ID: engine.ID, Model: service.Model, Version: service.Version,
		Role: service.Role, Adapters: service.Adapters,
		Slots: engine.Slots, CheckFence: engine.ChecksFencing,
		TokensPerSecond: tokensPerSecond, BatchSlowdown: 0.2,
		FirstToken: firstToken, PrefillPerToken: prefillPerToken,
		LoadLag: loadLag, EventLag: eventLag, EventDrop: eventDrop, Seed: seed,
	}
}

func (w *World) keep(server *simutil.Server, err error) (*simutil.Server, error) {
	if err == nil {
		w.servers = append(w.servers, server)
	}
	return server, err
}

// Close ends all stand-ins.
func (w *World) Close() {
	for _, server := range w.servers {
		_ = server.Close()
	}
	_ = w.Store.Close()
}
