package demo

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io/fs"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/samber/oops"
	"gopkg.in/yaml.v3"
)

const (
	kindChat = "chat"
	// maxSampleKeys is the number of sample keys that are tried for a customer's digest.
	maxSampleKeys = 99
	// defaultLoadBound is the load bound if the files set none.
	defaultLoadBound = 1.25
)

// Example is an example deployment: the parts of a directory of operators' files that the driver
// needs.
type Example struct {
	Name      string
	Services  []*Service
	Customers []*Customer
	LoadBound float64
	files     map[string]*yaml.Node
}

// Service is a service of an example. Engines is resolved from EngineNodes and Select.
type Service struct {
	ID            string            `yaml:"-"`
	Kind          string            `yaml:"kind"`
	Model         string            `yaml:"model"`
	Version       string            `yaml:"version"`
	Role          string            `yaml:"role"`
	Adapters      []string          `yaml:"adapters"`
	EngineNodes   []yaml.Node       `yaml:"engines"`
	Select        map[string]string `yaml:"select"`
	NonIdempotent []struct {
		Method string `yaml:"method"`
		Path   string `yaml:"path"`
	} `yaml:"non_idempotent"`
	Engines []*Engine `yaml:"-"`
}

// Engine is an engine of an example.
type Engine struct {
	ID            string            `yaml:"id"`
	Addr          string            `yaml:"addr"`
	DataCentre    string            `yaml:"data_centre"`
	Region        string            `yaml:"region"`
	Capacity      float64           `yaml:"capacity"`
	Slots         int               `yaml:"slots"`
	ChecksFencing bool              `yaml:"checks_fencing"`
	ChecksKeys    bool              `yaml:"checks_idempotency_keys"`
	Labels        map[string]string `yaml:"labels"`
}

// Customer is a customer of an example. Key is the sample key that matches its digest.
type Customer struct {
	ID       string   `yaml:"-"`
	Rate     float64  `yaml:"rate"`
	Services []string `yaml:"services"`
	Digests  []string `yaml:"keys"`
	Key      string   `yaml:"-"`
}

// stop is a planned stop of an engine.
type stop struct {
	Engine string    `yaml:"engine"`
	At     time.Time `yaml:"at"`
	For    string    `yaml:"for"`
}

// operatorFile is the content of one file of an example.
type operatorFile struct {
	Services  map[string]*Service  `yaml:"services"`
	Engines   map[string]*Engine   `yaml:"engines"`
	Customers map[string]*Customer `yaml:"customers"`
	Stops     []stop               `yaml:"stops"`
	Limits    struct {
		LoadBound float64 `yaml:"load_bound"`
	} `yaml:"limits"`
}

// LoadExample reads the operators' files below dir. It does not validate them, because the CLI does.
func LoadExample(dir string) (*Example, error) {
	e := &Example{Name: filepath.Base(dir), LoadBound: defaultLoadBound, files: map[string]*yaml.Node{}}
	engines := map[string]*Engine{}
	err := forEachFile(dir, func(name string, node *yaml.Node, file *operatorFile) error {
		e.files[name] = node
		e.addFile(file, engines)
		return nil
	})
	if err != nil {
		return nil, err
	}
	for _, service := range e.Services {
		if err := service.resolve(engines); err != nil {
			return nil, err
		}
	}
	slices.SortFunc(e.Services, func(a, b *Service) int { return strings.Compare(a.ID, b.ID) })
	slices.SortFunc(e.Customers, func(a, b *Customer) int { return strings.Compare(a.ID, b.ID) })
	return e, e.findKeys()
}

// forEachFile decodes each YAML file below dir and calls visit with it.
func forEachFile(dir string, visit func(name string, node *yaml.Node, file *operatorFile) error) error {
	return filepath.WalkDir(dir, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || filepath.Ext(path) != ".yaml" {
			return err
		}
		text, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		node, file := &yaml.Node{}, &operatorFile{}
		if err := yaml.Unmarshal(text, node); err != nil {
			return oops.Wrapf(err, "%s", path)
		}
		if err := node.Decode(file); err != nil {
			return oops.Wrapf(err, "%s", path)
		}
		name, err := filepath.Rel(dir, path)
		if err != nil {
			return err
		}
		return visit(name, node, file)
	})
}

func (e *Example) addFile(file *operatorFile, engines map[string]*Engine) {
	for id, engine := range file.Engines {
		engine.ID = id
		engines[id] = engine
	}
	for id, service := range file.Services {
		service.ID = id
		e.Services = append(e.Services, service)
	}
	for id, customer := range file.Customers {
		customer.ID = id
		e.Customers = append(e.Customers, customer)
	}
	if file.Limits.LoadBound > 0 {
		e.LoadBound = file.Limits.LoadBound
	}
}

// resolve finds the engines of a service, which are defined in place, named by ID or selected by labels.
func (s *Service) resolve(engines map[string]*Engine) error {
	for i := range s.EngineNodes {
		engine, err := resolveEngine(&s.EngineNodes[i], engines)
		if err != nil {
			return oops.Wrapf(err, "service %s", s.ID)
		}
		s.Engines = append(s.Engines, engine)
	}
	for _, id := range slices.Sorted(maps.Keys(engines)) {
		if len(s.Select) > 0 && hasLabels(engines[id].Labels, s.Select) {
			s.Engines = append(s.Engines, engines[id])
		}
	}
	if len(s.Engines) == 0 {
		return oops.Errorf("service %s has no engine", s.ID)
	}
	return nil
}

func resolveEngine(node *yaml.Node, engines map[string]*Engine) (*Engine, error) {
	if node.Kind == yaml.MappingNode {
		engine := &Engine{}
		return engine, node.Decode(engine)
	}
	if engine := engines[node.Value]; engine != nil {
		return engine, nil
	}
	return nil, oops.Errorf("engine %s is not defined", node.Value)
}

func hasLabels(labels, want map[string]string) bool {
	for key, value := range want {
		if labels[key] != value {
			return false
		}
	}
	return true
}

// findKeys finds the sample key of each customer. Sample keys are sample-key-NAME-01 to -99, where NAME
// is the example's name.
func (e *Example) findKeys() error {
	keys := map[string]string{}
	for i := range maxSampleKeys {
		key := fmt.Sprintf("sample-key-%s-%02d", e.Name, i+1)
		sum := sha256.Sum256([]byte(key))
		keys[hex.EncodeToString(sum[:])] = key
	}
	for _, customer := range e.Customers {
		for _, digest := range customer.Digests {
			customer.Key = keys[strings.TrimPrefix(digest, "sha256:")]
		}
		if customer.Key == "" {
			return oops.Errorf("customer %s has no sample key", customer.ID)
		}
	}
	return nil
}

// Write writes the files to dir with the engine addresses replaced according to addrs.
func (e *Example) Write(dir string, addrs map[string]string) error {
	for name, node := range e.files {
		replaceAddrs(node, addrs)
		text, err := yaml.Marshal(node)
		if err != nil {
			return oops.Wrap(err)
		}
		path := filepath.Join(dir, name)
		if err := os.MkdirAll(filepath.Dir(path), 0o700); err != nil {
			return oops.Wrap(err)
		}
		if err := os.WriteFile(path, text, 0o600); err != nil {
			return oops.Wrap(err)
		}
	}
	return nil
}

// replaceAddrs replaces the value of each field named addr that is in addrs.
func replaceAddrs(node *yaml.Node, addrs map[string]string) {
	for i, child := range node.Content {
		if node.Kind == yaml.MappingNode && i%2 == 1 && node.Content[i-1].Value == "addr" {
			if addr, ok := addrs[child.Value]; ok {
				child.Value = addr
			}
		}
		replaceAddrs(child, addrs)
	}
}

// writeStop adds a file with a planned stop of an engine to dir. The stop begins now and lasts one hour.
func writeStop(dir, engine string) error {
	file := stopsFile{[]stop{{engine, time.Now().Truncate(time.Second), "1h"}}}
	text, err := yaml.Marshal(file)
	if err != nil {
		return oops.Wrap(err)
	}
	return oops.Wrap(os.WriteFile(filepath.Join(dir, "demo-stops.yaml"), text, 0o600))
}

type stopsFile struct {
	Stops []stop `yaml:"stops"`
}

// readStoppedEngines returns the engines that are stopped now according to the files in dir.
func readStoppedEngines(dir string) (map[string]bool, error) {
	stopped := map[string]bool{}
	err := forEachFile(dir, func(_ string, _ *yaml.Node, file *operatorFile) error {
		for _, s := range file.Stops {
			duration, err := time.ParseDuration(s.For)
			if err != nil {
				return oops.Wrapf(err, "stop of %s", s.Engine)
			}
			now := time.Now()
			if s.Engine != "" && !now.Before(s.At) && now.Before(s.At.Add(duration)) {
				stopped[s.Engine] = true
			}
		}
		return nil
	})
	return stopped, err
}

// firstService returns the first service of a kind, or nil. Examples have one service of each kind.
func (e *Example) firstService(kind string) *Service {
	i := slices.IndexFunc(e.Services, func(s *Service) bool { return s.Kind == kind })
	if i < 0 {
		return nil
	}
	return e.Services[i]
}
