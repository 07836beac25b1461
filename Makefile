# Front end of the CMake build. On a fresh Debian machine, `make demo` and
# `make check` install the dependencies, build, and run the demo or the tests.

BUILD ?= build
PREFIX ?= /usr/local
DESTDIR ?=
SEED ?= 1
SECONDS ?= 60
FAULTS ?= all
JOBS ?= $(shell nproc)

.PHONY: all deps build check demo soak soak-flows bench regress install format format-check lint clean sanitize race

all: build

deps:
	tools/install-deps

$(BUILD)/Makefile: deps
	cmake -S . -B $(BUILD) -DCMAKE_INSTALL_PREFIX=$(PREFIX) >/dev/null

build: $(BUILD)/Makefile
	cmake --build $(BUILD) -j $(JOBS) -- --no-print-directory

check: build
	ctest --test-dir $(BUILD) --output-on-failure -j 4

demo: build
	$(BUILD)/test/soak/pl_lab --demo

soak: build
	$(BUILD)/test/soak/pl_lab --seed $(SEED) --seconds $(SECONDS) --faults $(FAULTS)

# Soak test of the flow roles; `soak` is the one of the request roles.
soak-flows: build
	$(BUILD)/test/soak/pl_flow_soak --seed $(SEED) --seconds $(SECONDS)

bench: build
	@for program in $$(find $(BUILD)/test -type f -name 'pl_bench_*' -perm -u+x | sort); do \
		echo "== $$(basename $$program)"; $$program || exit 1; \
	done

# Scores site files with the users' bench program and compares the scores with
# the last committed journal entries:
# make regress BENCH=PROGRAM SITES="FILE..." WHY="..."
WHY ?= regression run
regress:
	tools/regress "$(BENCH)" 3 "$(WHY)" $(SITES)

install: build
	cmake --install $(BUILD) --prefix $(PREFIX)

format:
	git ls-files '*.c' '*.h' '*.cpp' | xargs clang-format -i

format-check:
	git ls-files '*.c' '*.h' '*.cpp' | xargs clang-format --dry-run -Werror

lint: build
	run-clang-tidy -quiet -p $(BUILD) -j $(JOBS) '(src|test|platform)/.*\.c$$' > $(BUILD)/lint.log 2>&1 \
		|| { grep -E 'error:|warning:' $(BUILD)/lint.log | sort -u; exit 1; }

sanitize:
	cmake -S . -B $(BUILD)-asan -DPL_SANITIZE=address,undefined -DPL_ABORT_ON_INVARIANT=ON >/dev/null
	cmake --build $(BUILD)-asan -j $(JOBS) -- --no-print-directory
	ctest --test-dir $(BUILD)-asan --output-on-failure -j 4 -LE process

# Tests of data that threads share without liburcu: counters, loads, posted
# functions. Tests with liburcu are left out, because ThreadSanitizer does not
# recognise the barriers of liburcu.
THREADED = obs_counter net_loop net_peer entry
race:
	cmake -S . -B $(BUILD)-tsan -DPL_SANITIZE=thread -DPL_ABORT_ON_INVARIANT=ON >/dev/null
	cmake --build $(BUILD)-tsan -j $(JOBS) --target $(THREADED:%=test_%) -- --no-print-directory
	ctest --test-dir $(BUILD)-tsan --output-on-failure \
		-R '^($(shell echo $(THREADED) | tr ' ' '|'))$$'

clean:
	rm -rf $(BUILD) $(BUILD)-asan $(BUILD)-tsan
