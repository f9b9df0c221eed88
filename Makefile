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
