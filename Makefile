# Every target works on a fresh machine that has Go, a C compiler and make.
MODULES := bench pkg platform proof service standin cmd/usher-gateway cmd/usher-host cmd/usher-policy cmd/usher-scheduler cmd/usher-standin cmd/usherctl
PACKAGES := $(MODULES:%=./%/...)
PROGRAMS := usher-gateway usher-host usher-policy usher-scheduler usher-standin usherctl
export GOWORK := $(CURDIR)/go.work
# In-memory sockets have no receive buffer to set, and quic-go would log a warning about that in every test.
export QUIC_GO_DISABLE_RECEIVE_BUFFER_WARNING := true

.PHONY: build test format lint demo bench policy proof capacity gopls clean

build:
	@mkdir -p bin
	@for p in $(PROGRAMS); do go build -o bin/$$p ./cmd/$$p || exit 1; done

test:
	@./_scripts/test.sh $(PACKAGES)

format:
	@unformatted=$$(gofmt -l $(MODULES)); if [ -n "$$unformatted" ]; then echo "gofmt: $$unformatted"; exit 1; fi

lint:
	go vet $(PACKAGES)
	go tool staticcheck $(PACKAGES)

# Runs the whole system in separate processes on loopback and checks each step; builds the programs first.
demo:
	@./_scripts/demo.sh

# Measures the scheduler's policy in virtual time; USHER_SEED chooses the seed.
policy: build
	@mkdir -p docs/plots
	./bin/usher-policy --plots docs/plots

# Measures the points that have a regression bound; fails if a bound is exceeded.
bench:
	@./_scripts/bench.sh

# Regenerates docs/CAPACITY.md from the records in docs/data.
capacity:
	@./_scripts/capacity.sh

# Tests the guarantees under failure: more rounds in virtual time (USHER_SEED, USHER_ROUNDS), then the built programs.
proof: build
	USHER_ROUNDS=$${USHER_ROUNDS:-20} go test -race -timeout 60m -parallel 4 -v ./proof/...
	go test -timeout 20m -tags processes -run TestProcesses -v ./proof

# Builds bin/gopls, which renames a name in all modules: bin/gopls rename -w FILE:LINE:COLUMN NAME.
gopls:
	@mkdir -p bin
	cd tools/gopls && GOWORK=off go build -o ../../bin/gopls golang.org/x/tools/gopls

clean:
	rm -rf bin
