// Package trainer is the edge to trainers: their HTTP API, and the coordinator that carries out the
// decisions of core/delivery for the jobs whose lease this host holds.
//
// All requests carry Authorization: Bearer KEY of the job's organisation, and may carry
// Request-Timeout (seconds, 60 if absent) and Delivery-Cursor (the newest one received).
//
//	POST /v1/trainerJobs/{job}/steps/{step}
//	  {"groups":[{"prompt":"…","samples":8},{"prompts":["…","…"],"samples":4}],"maxTokens":256}
//	  samples counts for each prompt. Step numbers grow; a new step acknowledges the last batch of
//	  the one before. 200 {"step":1,"samples":16,"batches":4}; the same body again has the same
//	  answer, another body 409. Unknown fields are refused with 400.
//	GET /v1/trainerJobs/{job}/steps/{step}/batches/{n}
//	  Waits for batch n, counted from 1, and acknowledges batch n-1. 200 {"job":"…","step":1,
//	  "batch":1,"modelVersion":7,"last":false,"samples":[{"sampleId":"job/1/0/0","group":0,
//	  "index":0,"prompt":"…","text":"…","spans":[{"version":7,"from":0,"to":12}],"score":0.5}]},
//	  byte for byte the same until batch n+1 is asked for. Spans count tokens.
//	POST /v1/trainerJobs/{job}/modelVersions
//	  {"version":8,"weights":"…"}: versions only grow, the same again is the same.
//	  200 {"version":8,"weights":"…"}.
//
// Each answer may carry a new Delivery-Cursor, which the trainer sends with its next request. A
// trainer that sends cursors is served through an outage of the platform; one that doesn't waits.
// A trainer that has begun to send them goes on doing so within the job. A refusal has Retry-After
// and {"verdict","reason","detail","retryAfterSeconds"}. All requests are idempotent.
//
// Each job has one control goroutine, which owns the job's state; a storage goroutine that carries
// out its reads and writes of the platform in turn; and a fixed number of workers that generate,
// copy and score samples. All end with the context.
package trainer
