// Package slopes measures how the processor time, memory and network traffic of a
// process grow with the size of the deployment. Its benchmarks start real entries and
// agents on loopback. The platform and the engines are emulated in the benchmark's own
// process. To run them:
//
//	go test ./slopes -run '^$' -bench . -benchtime 1x -timeout 20m
package slopes
