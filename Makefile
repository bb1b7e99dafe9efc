modules = node ctl measure platform
lint = cd tools/lint && GOWORK=off go tool -n golangci-lint

.PHONY: build demo test race fuzz lint shape measure generate

build:
	go build -o bin/ ./node ./measure ./platform
	go build -o bin/verbctl ./ctl

demo: build
	bin/measure demo

test: lint shape
	sh .ci/test.sh

lint:
	@linter=$$($(lint)) && for m in $(modules); do (cd $$m && $$linter run --config ../.golangci.yml ./...) || exit 1; done

shape:
	sh .ci/shape.sh

measure: build
	bin/measure run $(if $(QUICK),--quick)

generate:
	sh .ci/generate.sh
