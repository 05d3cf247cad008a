LINT := bin/golangci-lint

.PHONY: build test lint bench demo demo-office faults

build:
	go build -o bin/ ./cmd/...

$(LINT): tools/go.mod
	cd tools && go build -o ../$(LINT) github.com/golangci/golangci-lint/v2/cmd/golangci-lint

lint: $(LINT)
	$(LINT) fmt --diff
	$(LINT) run ./...

test: lint
	go vet ./...
	go build ./...
	go test -race ./...
	go run ./cmd/pimentospread check --file examples/trust.json
	go run ./cmd/pimentospread check --file examples/office.json

bench:
	go test -run '^$$' -bench . -benchmem ./...

demo:
	scripts/demo.sh

demo-office:
	scripts/demo-office.sh

# Takes some minutes of real time, so it is not part of test.
faults:
	scripts/faults.sh
