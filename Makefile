# Needs Go and make. Everything is built into .build.
MODULES := lib steerd entryd rosectl standin
PROGRAMS := steerd entryd rosectl standin

.PHONY: build test demo bench capacity docs

build:
	go build -o .build/bin/ $(addprefix ./,$(PROGRAMS))

test: build
	go test -race -parallel 3 $(addsuffix /...,$(addprefix ./,$(MODULES)))

demo: build
	bash _scripts/demo.sh

# Writes the pages in docs/commands from the commands' help.
docs:
	UPDATE_DOCS=1 go test -count=1 -run TestDocs ./steerd/cmds ./entryd/cmds ./rosectl/cmds ./standin/cmds

bench: build
	go test -run '^$$' -bench 'Overhead|Lookup|Stops|Loss|AtMostOnce|Spread' -benchtime 1x -timeout 20m ./standin/pkg/fleet
	go test -run '^$$' -bench . -benchtime 1x ./entryd/pkg/queue
	go test -run '^$$' -bench . ./entryd/pkg/owner ./entryd/pkg/links

capacity: build
	bash _scripts/capacity.sh
