# Commands for development; CONTRIBUTING.md says when to use them. A change must pass .ci/run before it is merged.
# PACKAGES restricts test, race, bench and lint to some packages: make test PACKAGES=./internal/router/...

PACKAGES ?= ./...
RACE_PACKAGES ?= ./internal/...
BENCH ?= .
LINTER := bin/tools/golangci-lint

.PHONY: build test race lint format bench demo ci

# Builds the programs with the build command of deploy/balancer.toml; needs gcc and libc6-dev.
build:
	bash -c "$$(sed -n 's/^build *= *"\([^"]*\)".*/\1/p' deploy/balancer.toml)"

test:
	go test -count=1 $(PACKAGES)

# Runs the tests with the race detector; needs gcc.
race: PACKAGES = $(RACE_PACKAGES)
race:
	go test -race -count=1 $(PACKAGES)

lint: $(LINTER)
	go vet $(PACKAGES)
	$(LINTER) run $(PACKAGES)

# Formats the files with the linter's formatters.
format: $(LINTER)
	$(LINTER) fmt

# The linter's version is pinned in the separate module tools.
$(LINTER): tools/go.mod tools/go.sum
	go -C tools build -o ../bin/tools/ github.com/golangci/golangci-lint/v2/cmd/golangci-lint

# Runs all benchmarks by default; make bench PACKAGES=./dispatch BENCH=Step runs some of them.
bench:
	go test -run '^$$' -bench '$(BENCH)' -benchmem $(PACKAGES)

demo:
	go run ./cmd/topazfront demo

ci:
	.ci/run
