# The commands of daily work; CONTRIBUTING.md says when to use which. .ci/run is what a landing has to pass.
# make test PACKAGES=./internal/router/... takes a part of the packages, also for bench and race.

PACKAGES ?= ./...
RACE_PACKAGES ?= ./internal/...
BENCH ?= .
LINTER := bin/tools/golangci-lint

.PHONY: build test race lint format bench demo ci

# The programs, as deploy/balancer.toml has them built; needs gcc and libc6-dev.
build:
	bash -c "$$(sed -n 's/^build *= *"\([^"]*\)".*/\1/p' deploy/balancer.toml)"

test:
	go test -count=1 $(PACKAGES)

# With the race detector; needs gcc.
race: PACKAGES = $(RACE_PACKAGES)
race:
	go test -race -count=1 $(PACKAGES)

lint: $(LINTER)
	go vet $(PACKAGES)
	$(LINTER) run $(PACKAGES)

# Rewrites files by the linter's formatters.
format: $(LINTER)
	$(LINTER) fmt

# The linter's version is pinned by a module of its own.
$(LINTER): tools/go.mod tools/go.sum
	go -C tools build -o ../bin/tools/ github.com/golangci/golangci-lint/v2/cmd/golangci-lint

# Of all packages by default; make bench PACKAGES=./dispatch BENCH=Step takes a part.
bench:
	go test -run '^$$' -bench '$(BENCH)' -benchmem $(PACKAGES)

demo:
	go run ./cmd/topazfront demo

ci:
	.ci/run
