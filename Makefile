# What the README names; the commands are Maven's and the deploy file's.
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
