# The commands that the README lists. Each of them works on a fresh Debian 12.
BUILD ?= build
SEED ?= 1
ROWS ?= *
MINUTES ?= 1

.PHONY: all packages build test check faults soak demo demo-presets bench slopes format lint sanitize generate clean

all: build

packages:
	@tools/install-packages

build: packages
	@cmake -S . -B $(BUILD) -G Ninja >/dev/null
	@cmake --build $(BUILD)

# Build, format check, lint and tests, as CI runs them.
test: build check
	@tools/run-tests $(BUILD)

check: build
	@tools/check-format
	@BUILD=$(BUILD) tools/check-lint

sanitize: packages
	@cmake -S . -B $(BUILD)-sanitize -G Ninja -DCMAKE_BUILD_TYPE=Sanitize >/dev/null
	@cmake --build $(BUILD)-sanitize
	@tools/run-tests $(BUILD)-sanitize

faults: build
	@tools/run-faults $(BUILD) "$(SEED)" "$(ROWS)"

# One seed, or a range: make soak SEED=1-50 MINUTES=2.
soak: build
	@tools/run-soak $(BUILD) "$(SEED)" "$(MINUTES)"

demo: build
	@BUILD=$(BUILD) tools/demo

demo-presets: build
	@BUILD=$(BUILD) tools/demo-presets

bench: build
	@BUILD=$(BUILD) tools/run-bench

slopes: build
	@BUILD=$(BUILD) tools/run-slopes

format:
	@tools/check-format --fix

lint: build
	@BUILD=$(BUILD) tools/check-lint

# Regenerates the committed Thrift codecs. Requires Debian's thrift-compiler.
generate:
	@tools/generate-thrift

clean:
	@rm -rf $(BUILD) $(BUILD)-sanitize
