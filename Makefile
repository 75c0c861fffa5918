# Targets for development, continuous integration and measurement.
GO ?= go
BIN := bin
VERSION ?= $(shell git describe --always --dirty 2>/dev/null || echo dev)

.PHONY: build test fmt vet staticcheck unit demo bench experiment capacity soak clean

# First seed and number of seeds of the soak.
SEED ?= 1
SEEDS ?= 10

build:
	$(GO) build -ldflags "-X main.version=$(VERSION)" -o $(BIN)/ ./cmd/...

fmt:
	@out=$$(gofmt -l .); if [ -n "$$out" ]; then echo "not formatted:"; echo "$$out"; exit 1; fi

vet:
	$(GO) vet ./...

staticcheck:
	$(GO) tool staticcheck ./...

unit:
	$(GO) test -race -count=1 -timeout 30m ./...

test: fmt vet staticcheck unit

# Runs both example deployments against the stand-ins. It ends the processes it starts.
demo: build
	$(GO) build -o $(BIN)/ ./internal/demo/demo
	$(BIN)/demo -bin $(BIN)

# Measures what an instance costs at several sizes and extrapolates; see docs/CAPACITY.md.
capacity: build
	$(GO) build -o $(BIN)/ ./internal/capacity/capacity
	$(BIN)/capacity -bin $(BIN) -out $(BIN)/capacity.txt

# Measures decisions in virtual time against baselines and updates docs/bench.md.
bench:
	$(GO) run ./internal/bench/bench

# Compares settings of the gateway's decisions under load patterns in virtual time; tables and plots go to out/experiment.
experiment:
	$(GO) run ./internal/experiment/experiment

# Plays seeds of the fault soak against the platform's stand-ins; see docs/faults.md.
soak: build
	$(GO) build -o $(BIN)/ ./platform/soak/soak
	$(BIN)/soak -binary $(BIN)/bilberrywelld -seed $(SEED) -seeds $(SEEDS)

clean:
	rm -rf $(BIN) out
