package trainer

import "time"

// Action is what a trainer asks for.
type Action string

// The actions of the trainer API.
const (
	ActionStep         Action = "step"
	ActionBatch        Action = "batch"
	ActionModelVersion Action = "modelVersion"
)

// Forwarded is a trainer's request that its entry has authenticated, on the way to the holder of
// the job's lease. It carries no key material.
type Forwarded struct {
	Job    string `msgpack:"j"`
	Action Action `msgpack:"a"`
	Step   int    `msgpack:"s"`
	Batch  int    `msgpack:"b"`
	Body   []byte `msgpack:"bo"`
	// Cursor is the Delivery-Cursor header as received.
	Cursor string `msgpack:"c"`
	// Remaining is the time until the trainer's deadline when the message was sent.
	Remaining time.Duration `msgpack:"r"`
}

// Reply is the whole answer to a trainer's request.
type Reply struct {
	Status int    `msgpack:"s"`
	Body   []byte `msgpack:"b"`
	// Cursor is the Delivery-Cursor header to answer with.
	Cursor string `msgpack:"c"`
}
