// Package benchmarker compares the latency of requests through a daemon with
// that of direct requests and of a plain reverse proxy. `make bench` runs the
// benchmarks.
package benchmarker
