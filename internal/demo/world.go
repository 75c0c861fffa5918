package demo

import (
	"time"

	"github.com/bilberrywell/bilberrywell/internal/standin/enginesim"
	"github.com/bilberrywell/bilberrywell/internal/standin/servicesim"
	"github.com/bilberrywell/bilberrywell/internal/standin/simutil"
	"github.com/bilberrywell/bilberrywell/platform/standin"
)

const loopback = "127.0.0.1:0"

// Timings of the demo's engines. They keep the duration of a run below half a minute.
const (
	tokensPerSecond = 40
	firstToken      = 20 * time.Millisecond
	prefillPerToken = 100 * time.Microsecond
	loadLag         = 200 * time.Millisecond
	eventLag        = 500 * time.Millisecond
	eventDrop       = 0.05
	callDelay       = 20 * time.Millisecond
	// storeWrites and storeReads are the maximum calls per second that the stand-in of the store
	// serves.
	storeWrites = 300
	storeReads  = 2000
)

// StandIns are the stand-ins that a fleet runs against: the store of the platform, the engines and the
// services. Engines and Services are keyed by ID.
type StandIns struct {
	Store    *standin.Server
	Engines  map[string]*enginesim.Engine
	Services map[string]*servicesim.Service
	// ServedAddrs maps the engine addresses in the example's files to the addresses of the stand-ins.
	ServedAddrs map[string]string
	servers     []*simutil.Server
}

// NewStandIns starts the stand-ins of an example on free loopback ports.
func NewStandIns(example *Example) (*StandIns, error) {
	s := &StandIns{
		Engines:     map[string]*enginesim.Engine{},
		Services:    map[string]*servicesim.Service{},
		ServedAddrs: map[string]string{},
	}
	store, err := standin.ServeStore(loopback)
	if err != nil {
		return nil, err
	}
	s.Store = store
	s.Store.SetRates(standin.Rates{Writes: storeWrites, Reads: storeReads})
	for _, service := range example.Services {
		if err := s.startEngines(service); err != nil {
			s.Close()
			return nil, err
		}
	}
	return s, nil
}

func (s *StandIns) startEngines(service *Service) error {
	for i, engine := range service.Engines {
		var server *simutil.Server
		var err error
		if service.Kind == kindChat {
			s.Engines[engine.ID] = enginesim.New(engineOptions(service, engine, uint64(i)))
			server, err = s.addServer(s.Engines[engine.ID].Start(loopback))
		} else {
			options := servicesim.Options{ID: engine.ID, Delay: callDelay, Idempotent: engine.ChecksKeys, Slots: engine.Slots}
			s.Services[engine.ID] = servicesim.New(options)
			server, err = s.addServer(s.Services[engine.ID].Start(loopback))
		}
		if err != nil {
			return err
		}
		s.ServedAddrs[engine.Addr] = server.Addr
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

func (s *StandIns) addServer(server *simutil.Server, err error) (*simutil.Server, error) {
	if err == nil {
		s.servers = append(s.servers, server)
	}
	return server, err
}

// Close stops all stand-ins.
func (s *StandIns) Close() {
	for _, server := range s.servers {
		_ = server.Close()
	}
	_ = s.Store.Close()
}
