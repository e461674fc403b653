package intake

import "syscall"

// usualDescriptors is taken where the limit of open files is unknown.
const usualDescriptors = 1024

// Descriptors returns the limit of the process's open files.
func Descriptors() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return usualDescriptors
	}
	const most = 1 << 20 // stands for "unlimited"
	return int(min(limit.Cur, most))
}
