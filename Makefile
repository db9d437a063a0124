# Entry points of the tree; CMake does the building.
JOBS ?= $(shell nproc)
PACKAGES = $(shell cat packages.txt)
SRCS = $(filter-out %_xdr.c %_svc.c %_clnt.c entry/peer.h, \
    $(shell git ls-files '*.c' '*.h'))
LINTED = $(filter %.c,$(SRCS))
DESTDIR ?=
PREFIX ?= /usr/local

.PHONY: all
.PHONY: build
.PHONY: build-check
.PHONY: capacity
.PHONY: check
.PHONY: clean
.PHONY: demo
.PHONY: deps
.PHONY: format
.PHONY: format-check
.PHONY: fuzz
.PHONY: golden
.PHONY: golden-wire
.PHONY: install
.PHONY: lint
.PHONY: measure measure-agreement faults soak
.PHONY: peer
.PHONY: settings-page

all: build

deps:
	@missing=; for p in $(PACKAGES); do \
	    dpkg -s $$p >/dev/null 2>&1 || missing="$$missing $$p"; done; \
	if [ -n "$$missing" ]; then \
	    apt-get update && \
	    apt-get install -y --no-install-recommends $$missing; fi

build: deps
	cmake -S . -B build/release -DCMAKE_BUILD_TYPE=RelWithDebInfo \
	    -DCMAKE_INSTALL_PREFIX=$(PREFIX) >/dev/null
	cmake --build build/release -j$(JOBS) >/dev/null

build-check: deps
	cmake -S . -B build/check -DCMAKE_BUILD_TYPE=Debug -DSANITIZE=ON >/dev/null
	cmake --build build/check -j$(JOBS) >/dev/null

# Runs the fault tests ROUNDS times.
ROUNDS ?= 10
faults: build
	@for i in $$(seq $(ROUNDS)); do \
	    tests/faults/run.sh build/release || exit 1; done

# Runs the fault soak with SEEDS random seeds, one after the other.
SEEDS ?= 5
SOAK_SECONDS ?= 20
soak: build-check
	@for i in $$(seq $(SEEDS)); do \
	    SEQUOIAD=build/check/entry/sequoiad build/check/tests/soak/soak \
	        $$(od -An -N4 -tu4 /dev/urandom) $(SOAK_SECONDS) || exit 1; done

measure-agreement: build
	@tests/faults/measure.sh build/release

check: build-check
	@ctest --test-dir build/check --output-on-failure -j4

# Rewrites the golden files from the kernel's present behavior.
golden: build-check
	GOLDEN_WRITE=1 build/check/tests/kernel/test_golden

# Tests more seeds of random events than make check.
FUZZ_SEEDS ?= 20000
fuzz: build-check
	FUZZ_SEEDS=$(FUZZ_SEEDS) build/check/tests/kernel/test_fuzz_kernel

format:
	clang-format -i $(SRCS)

format-check: deps
	clang-format --dry-run --Werror $(SRCS)

lint: build-check
	@printf '%s\n' $(LINTED) | \
	    xargs -P$(JOBS) -n1 clang-tidy --quiet -p build/check 2>/dev/null

# Regenerates the XDR code.
peer:
	cd entry && rm -f peer.h peer_xdr.c && rpcgen -C -M -h -o peer.h peer.x && \
	    rpcgen -C -M -c -o peer_xdr.c peer.x

# Generates the page of all keys from the tables in the code.
settings-page: build
	build/release/ctl/sequoiactl settings >docs/SETTINGS.md

# Rewrites the golden files of the wire sessions, which make check compares.
golden-wire: build
	@tests/wire/run.sh build/release --write

demo: build
	@tests/demo/run.sh build/release

# Environment: SCENARIO, SEEDS, VARIANTS, ...; see the script.
measure: build
	@tests/load/run.sh build/release

# Prints the cost of a sequoiad and its parts, for docs/CAPACITY.md.
capacity: build
	@build/release/tests/capacity/capacity
	@tests/capacity/fleet.sh build/release

install: build
	DESTDIR=$(DESTDIR) cmake --install build/release

clean:
	rm -rf build
