MODULES := siskinspar.example/...
BIN := $(CURDIR)/.bin

.PHONY: build demo test check tools

build:
	go build -o $(BIN)/siskinspar siskinspar.example/cmd/siskinspar

demo: build
	$(BIN)/siskinspar demo

test:
	go test $(MODULES)

tools:
	cd tools && GOWORK=off go build -o $(BIN)/ honnef.co/go/tools/cmd/staticcheck github.com/mgechev/revive

check: tools
	@unformatted=$$(gofmt -l $$(git ls-files '*.go')); if [ -n "$$unformatted" ]; then echo "gofmt differs: $$unformatted"; exit 1; fi
	go vet $(MODULES)
	$(BIN)/staticcheck $(MODULES)
	$(BIN)/revive -config tools/revive.toml -formatter friendly $$(go list -f '{{.Dir}}' $(MODULES))
