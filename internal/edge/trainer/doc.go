// Package trainer serves the HTTP API for trainers, and coordinates the jobs whose lease this host holds by
// executing the decisions of core/delivery.
//
// All requests carry Authorization: Bearer KEY of the job's organisation, and may carry
// Request-Timeout (seconds, default 60) and Delivery-Cursor (the newest one received).
//
//	POST /v1/trainerJobs/{job}/steps/{step}
//	  {"groups":[{"prompt":"…","samples":8},{"prompts":["…","…"],"samples":4}],"maxTokens":256}
//	  samples is the number for each prompt. Step numbers increase; a new step acknowledges the last
//	  batch of the previous one. 200 {"step":1,"samples":16,"batches":4}. The same body again gets
//	  the same response, another body gets 409. Unknown fields are refused with 400.
//	GET /v1/trainerJobs/{job}/steps/{step}/batches/{n}
//	  Waits for batch n, counted from 1, and acknowledges batch n-1. 200 {"job":"…","step":1,
//	  "batch":1,"modelVersion":7,"last":false,"samples":[{"sampleId":"job/1/0/0","group":0,
//	  "index":0,"prompt":"…","text":"…","spans":[{"version":7,"from":0,"to":12}],"score":0.5}]},
//	  byte for byte the same until batch n+1 is requested. Spans are in tokens.
//	POST /v1/trainerJobs/{job}/modelVersions
//	  {"version":8,"weights":"…"}. Versions only increase; repeating a request is harmless.
//	  200 {"version":8,"weights":"…"}.
//
// Each response may carry a new Delivery-Cursor, which the trainer sends with its next request. A trainer that
// sends cursors is served during an outage of the platform; without cursors it has to wait. A trainer that has
// started to send cursors must continue to do so within the job. A refusal has Retry-After and
// {"verdict","reason","detail","retryAfterSeconds"}. All requests are idempotent.
//
// Each job has one control goroutine, which owns the job's state; a storage goroutine, which executes reads and
// writes of the platform one after the other; and a fixed number of workers that generate, copy and score
// samples. All end with the context.
package trainer
