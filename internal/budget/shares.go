package budget

const (
	mebibyte = 1 << 20
	// processBytes is the memory of a node without connections.
	processBytes = 24 * mebibyte
	// connMemoryRatio is the fraction of the other memory that connections may hold. The
	// garbage collector lets the heap grow by half before it runs; the rest is for the
	// stacks, the data of the control loop and the spans that the allocator keeps.
	connMemoryRatio = 0.45
	// ConnBytes is the memory of an accepted connection: two buffers of 4 KiB, a stack of
	// up to 8 KiB and the state of the server.
	ConnBytes = 16 << 10
	// reservedDescriptors serve the listeners, the store, files, the runtime and the
	// connections to the local listeners.
	reservedDescriptors = 48
	minConns            = 4
)

// Ratios of the descriptors of a process, after the reserve.
const (
	callerDescriptorRatio   = 0.28
	nodeDescriptorRatio     = 0.19
	outgoingDescriptorRatio = 0.31
	// controlDescriptorRatio is the ratio of accepted control connections; as many are
	// dialled. The planner has one of each with every other node of the fleet: with 4,100
	// descriptors the share serves 360 nodes.
	controlDescriptorRatio = 0.09
	refusedDescriptorRatio = 0.01 // for each of the listeners for callers and nodes
)

// Ratios of the memory that connections may hold.
const (
	connBytesRatio   = 0.5
	headBytesRatio   = 0.22
	bufferBytesRatio = 0.16
	readMessageRatio = 0.08
	sentMessageRatio = 0.04
	// Of the heads:
	callerHeadRatio = 0.55
	nodeHeadRatio   = 0.35
	localHeadRatio  = 0.1
	// Of the connections, if memory limits them:
	callerConnRatio  = 0.5
	nodeConnRatio    = 0.3
	controlConnRatio = 0.16
)

// readAheadDivisor is the part of all memory for long bodies that are read ahead.
const readAheadDivisor = 16

// localListeners is the number of listeners for heartbeats, probes and metrics.
const localListeners = 3

// localConns is the limit on the connections of each local listener, in which a platform
// needs one or two. It includes those that are being refused.
const localConns = 4

// maxRefusedBase keeps the connections that are being refused to a few dozen.
const maxRefusedBase = 4096

// Share limits the connections of a listener and the memory of the heads that they hold.
type Share struct {
	Conns     int // 0 for no limit
	Refused   int // connections that are being refused at the same time
	HeadBytes int // 0 for no limit
}

// Shares holds the limits on the resources of a process. The zero value sets no limits.
type Shares struct {
	Callers Share // callers and the target
	Nodes   Share // other nodes
	Local   Share // each of the listeners for heartbeats, probes and metrics
	Control Share // accepted connections for control messages
	// ControlDialled limits the connections for control messages to other nodes.
	ControlDialled int
	// Outgoing limits the connections to the target and other nodes, in use and idle.
	Outgoing int
	// BufferBytes limits the bodies and responses that calls hold, in bytes.
	BufferBytes int
	// ReadAheadBytes limits the long bodies that are read before their target reads them.
	ReadAheadBytes int
	// ReadMessageBytes and SentMessageBytes limit the control messages that are being read and
	// the large ones that are being sent, in bytes.
	ReadMessageBytes, SentMessageBytes int
}

// NewShares divides the memory and the descriptors of a process.
func NewShares(memoryMiB, descriptors int) Shares {
	memory := connMemory(memoryMiB)
	connBytes := connBytesRatio * memory
	conns := func(descriptorRatio, memoryRatio float64) int {
		byDescriptors := descriptorRatio * float64(max(0, descriptors-reservedDescriptors))
		return max(minConns, int(min(byDescriptors, memoryRatio*connBytes/ConnBytes)))
	}
	heads := headBytesRatio * memory
	refused := max(1, int(refusedDescriptorRatio*float64(min(maxRefusedBase, descriptors-reservedDescriptors))))
	return Shares{
		Callers:        Share{Conns: conns(callerDescriptorRatio, callerConnRatio), Refused: refused, HeadBytes: int(callerHeadRatio * heads)},
		Nodes:          Share{Conns: conns(nodeDescriptorRatio, nodeConnRatio), Refused: refused, HeadBytes: int(nodeHeadRatio * heads)},
		Local:          Share{Conns: localConns - 1, Refused: 1, HeadBytes: int(localHeadRatio * heads / localListeners)},
		Control:        Share{Conns: conns(controlDescriptorRatio, controlConnRatio)},
		ControlDialled: max(minConns, int(controlDescriptorRatio*float64(descriptors-reservedDescriptors))),
		Outgoing:       max(minConns, int(outgoingDescriptorRatio*float64(descriptors-reservedDescriptors))),
		BufferBytes:    int(bufferBytesRatio * memory),
		ReadAheadBytes: memoryMiB * mebibyte / readAheadDivisor,

		ReadMessageBytes: int(readMessageRatio * memory),
		SentMessageBytes: int(sentMessageRatio * memory),
	}
}

// connMemory returns the memory that connections may hold, in bytes.
func connMemory(memoryMiB int) float64 {
	all := float64(memoryMiB) * mebibyte
	return connMemoryRatio * max(all/4, all-processBytes)
}

// Descriptors returns the sum of all shares of the descriptors, with the reserve.
func (s Shares) Descriptors() int {
	refused := s.Callers.Refused + s.Nodes.Refused + localListeners*s.Local.Refused
	accepted := s.Callers.Conns + s.Nodes.Conns + localListeners*s.Local.Conns + s.Control.Conns
	return reservedDescriptors - localListeners*localConns + accepted + refused + s.ControlDialled + s.Outgoing
}

// Bytes returns the sum of all shares of the memory, in bytes, without that of a process
// that has no connections.
func (s Shares) Bytes() int {
	conns := s.Callers.Conns + s.Nodes.Conns + localListeners*s.Local.Conns + s.Control.Conns
	heads := s.Callers.HeadBytes + s.Nodes.HeadBytes + localListeners*s.Local.HeadBytes
	return conns*ConnBytes + heads + s.BufferBytes + s.ReadAheadBytes + s.ReadMessageBytes + s.SentMessageBytes
}
