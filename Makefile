# The commands that a newcomer needs: `make run` and `make test`.
BUILD ?= build
JOBS ?= $(shell nproc)

.PHONY: deps build run test bench bench-quick format lint

deps:
	tools/install_deps.sh

build: deps
	cmake --preset default >/dev/null
	cmake --build $(BUILD) -j $(JOBS)

run: build
	tools/local_mesh.sh $(BUILD)

test: build
	ctest --test-dir $(BUILD) --output-on-failure -j 4

bench: build
	$(BUILD)/benchmark/bench --report bench-report.json --plots bench-plots

bench-quick: build
	$(BUILD)/benchmark/bench --quick --report bench-report.json

format:
	tools/format.sh

lint: build
	tools/lint.sh $(BUILD)
