package demo

import (
	"time"

	"github.com/bilberrywell/bilberrywell/internal/standin/enginesim"
	"github.com/bilberrywell/bilberrywell/internal/standin/platformsim"
	"github.com/bilberrywell/bilberrywell/internal/standin/servicesim"
	"github.com/bilberrywell/bilberrywell/internal/standin/simutil"
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
	listLagMS       = 500
)

// World is the outside of a fleet: the platform, the engines and the services.
type World struct {
	Platform    *platformsim.Sim
	PlatformURL string
	Engines     map[string]*enginesim.Engine
	Services    map[string]*servicesim.Service
	// Addrs maps the addresses in the example's files to those served.
	Addrs   map[string]string
	servers []*simutil.Server
}

// NewWorld serves the stand-ins of an example on free loopback ports.
func NewWorld(example *Example) (*World, error) {
	w := &World{
		Platform: platformsim.New(platformsim.Options{}),
		Engines:  map[string]*enginesim.Engine{},
		Services: map[string]*servicesim.Service{},
		Addrs:    map[string]string{},
	}
	lag := listLagMS
	w.Platform.SetFault(platformsim.Fault{ListLagMS: &lag})
	server, err := w.keep(w.Platform.Start(loopback))
	if err != nil {
		return nil, err
	}
	w.PlatformURL = server.URL
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
}
