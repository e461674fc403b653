//go:build !linux || !cgo

package main

import (
	"os/signal"
	"syscall"
)

// hangUpIgnored tells whether SIGHUP was ignored when the process started, as with nohup. It is
// called before the signals are caught.
func hangUpIgnored() bool {
	return signal.Ignored(syscall.SIGHUP)
}
