//go:build cgo

package main

// extern int hang_up_ignored;
import "C"

// hangUpIgnored tells whether SIGHUP was ignored when the process started, as with nohup.
func hangUpIgnored() bool {
	return C.hang_up_ignored != 0
}
