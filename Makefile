.PHONY: build test test-all lint format generate bench demo ci

build:
	go build -o bin/ ./cmd/...

test:
	go test ./...

# test-all runs the same tests as CI: all tests with the race detector, except those listed in KNOWN-RED.txt.
test-all:
	./scripts/test

lint:
	golangci-lint run ./...

format:
	gofmt -w $$(git ls-files '*.go' | grep -v -e '\.pb\.go$$' -e '\.twirp\.go$$')

generate:
	protoc --go_out=. --go_opt=module=medlarwheel --twirp_out=. --twirp_opt=module=medlarwheel medlarpeer/peerpb/peer.proto

bench:
	go test -run '^$$' -bench . -benchmem ./...

demo: build
	./scripts/demo

ci:
	./.ci/run
