# Targets named in the README. They run Maven, or the commands in deploy/balancer.toml.
BALANCER_CONFIG ?= /run/balancer/config.json

.PHONY: build test lint run

build:
	sh -c "$$(sed -n 's/^build = "\(.*\)"$$/\1/p' deploy/balancer.toml)"

test:
	mvn -B verify

lint:
	mvn -q -B compile checkstyle:check

run: build
	BALANCER_CONFIG=$(BALANCER_CONFIG) sh -c "$$(sed -n 's/^run = "\(.*\)"$$/\1/p' deploy/balancer.toml)"
