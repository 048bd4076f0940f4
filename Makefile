MODULES := siskinspar.example/...
BIN := $(CURDIR)/.bin

.PHONY: build demo test check tools gopls

build:
	go build -o $(BIN)/siskinspar siskinspar.example/cmd/siskinspar

demo: build
	$(BIN)/siskinspar demo

test:
	go test -count=1 $(MODULES)

tools:
	cd tools && GOWORK=off go build -o $(BIN)/ honnef.co/go/tools/cmd/staticcheck github.com/mgechev/revive

# In a module of its own, so that it does not move the versions of the linters.
gopls:
	cd tools/gopls && GOWORK=off go build -o $(BIN)/ golang.org/x/tools/gopls

check: tools
	@unformatted=$$(gofmt -l $$(git ls-files '*.go')); if [ -n "$$unformatted" ]; then echo "gofmt differs: $$unformatted"; exit 1; fi
	go vet $(MODULES)
	$(BIN)/staticcheck $(MODULES)
	$(BIN)/revive -config tools/revive.toml -formatter friendly $$(go list -f '{{.Dir}}' $(MODULES))

.PHONY: capacity capacity-page

# Each part is a run of its own, so that one does not disturb the next.
capacity:
	for part in Configuration Directory Wire Idle Herd Latency Calls Unrepeatable Convergence Processes; do \
		go test -run xxx -bench $$part -benchtime 1x ./capacity/slope -raw $(CURDIR)/docs/capacity.json || exit 1; \
	done
	$(MAKE) capacity-page

capacity-page:
	go test ./capacity -update
