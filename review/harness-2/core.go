package main

import (
	"runtime"
	"syscall"
	"unsafe"
)

// cpuSet is the kernel's set of processors, a bit for each.
type cpuSet [16]uint64

func affinity(call uintptr, set *cpuSet) {
	_, _, errno := syscall.RawSyscall(call, 0, unsafe.Sizeof(*set), uintptr(unsafe.Pointer(set)))
	if errno != 0 {
		abort("processor of a machine with one core: %w", errno)
	}
}

// onLastCore confines the present thread, and the processes that it starts, to the last of its
// processors. The function that it returns ends that.
func onLastCore() func() {
	runtime.LockOSThread()
	var before, one cpuSet
	affinity(syscall.SYS_SCHED_GETAFFINITY, &before)
	for i := range before {
		for b := range 64 {
			if before[i]&(1<<b) != 0 {
				one = cpuSet{}
				one[i] = 1 << b
			}
		}
	}
	affinity(syscall.SYS_SCHED_SETAFFINITY, &one)
	return func() {
		affinity(syscall.SYS_SCHED_SETAFFINITY, &before)
		runtime.UnlockOSThread()
	}
}
