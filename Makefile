GO ?= go
TEST_FLAGS ?=

.PHONY: build fmt-check lint test check bench demo clean

build:
	$(GO) build -o bin/ ./cmd/...

fmt-check:
	@out=$$(gofmt -l .); if [ -n "$$out" ]; then echo "gofmt needed:"; echo "$$out"; exit 1; fi

lint:
	$(GO) vet ./...
	$(GO) tool staticcheck ./...

test:
	$(GO) test $(TEST_FLAGS) ./...

check: build fmt-check lint
	$(MAKE) test TEST_FLAGS="-race"

demo: build
	./scripts/demo.sh

clean:
	rm -rf bin out
