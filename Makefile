.PHONY: build check lint demo
build:
	go build -o bin/oleandershelf .
check:
	.ci/check
lint:
	.ci/lint run ./...
demo:
	go run . demo
