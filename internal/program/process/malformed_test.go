package process

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/oleandershelf/oleandershelf/platform/platformtest"
)

const (
	chunkedBody = "Transfer-Encoding: chunked"
	// forgedBody and forgedSignature are those of malformed answers.
	forgedBody      = "forged text"
	forgedSignature = "forged-signature"
)

// headForm is a form of an answer's head, in an answer that is otherwise whole and signed.
type headForm struct {
	name   string
	answer platformtest.RawAnswer
	// afterHead is set if the head itself is sound.
	afterHead bool
}

// malformedForms are forms that the protocol doesn't allow.
func malformedForms() []headForm {
	var forms []headForm
	add := func(name string, answer platformtest.RawAnswer) {
		forms = append(forms, headForm{name: name, answer: answer})
	}
	for _, status := range []string{
		"HTTP/1.1 000 OK", "HTTP/1.1 007 OK", "HTTP/1.1 099 OK", "HTTP/1.1 0 OK", "HTTP/1.1 20 OK", "HTTP/1.1 2000 OK", "HTTP/1.1 +200 OK",
		"HTTP/1.1 -200 OK", "HTTP/1.1 2 00 OK", "HTTP/1.1 20x OK", "HTTP/1.1 200OK", "HTTP/1.1 OK", "HTTP/1.1", "200 OK", "HTTP/0.9 200 OK",
		"HTTP/2.0 200 OK", "HTTP/2 200 OK", "HTTP/11 200 OK", "HTTP/1 200 OK", "http/1.1 200 OK", "HTTP/1.1 200 O\x00K", "HTTP/1.1 200 O\x01K",
		"HTTP/1.1 200 O\x7fK", "HTTP/1.1 200 O\rK", "HTTP/1.1\t200\tOK", " HTTP/1.1 200 OK", "HTTP/1.1 101 Switching Protocols",
	} {
		add(fmt.Sprintf("status line %q", status), platformtest.RawAnswer{Status: status})
	}
	for _, field := range []string{
		"X Odd: a", " X-Odd: a", "X-Odd : a", "X\tOdd: a", "X-Odd\t: a", "X\x00Odd: a", "X\x01Odd: a", "X\x0bOdd: a", "X\rOdd: a", "X\x7fOdd: a",
		"\x01X-Odd: a", "X-Odd\x1f: a", "X(Odd): a", "X\xe9Odd: a", ": a", "X-Odd", "X-Odd: a\x00b", "X-Odd: a\x01b", "X-Odd: a\rb", "X-Odd: a\x7fb",
		"Content-Length: 1", "Content Type: a/b", "X Server Stamp: a",
	} {
		add(fmt.Sprintf("field %q", field), platformtest.RawAnswer{Fields: []string{field}})
	}
	for _, framing := range []string{
		"Content Length: 8", "Content-Length : 8", "Content-Length: +8", "Content-Length: -8", "Content-Length: 0x8", "Content-Length: 8 8",
		"Content-Length: 8, 9", "Content-Length: 99999999999999999999", "Content-Length:",
	} {
		add(fmt.Sprintf("framing %q", framing), platformtest.RawAnswer{Framing: []string{framing}})
	}
	for _, framing := range []string{
		"Transfer Encoding: chunked", "Transfer-Encoding : chunked", "Transfer\tEncoding: chunked", "Transfer\x01Encoding: chunked",
		"Transfer-Encoding: chunked, chunked", "Transfer-Encoding: gzip, chunked", "Transfer-Encoding: xchunked", "Transfer-Encoding: \x0bchunked",
	} {
		add(fmt.Sprintf("framing %q", framing), platformtest.RawAnswer{Framing: []string{framing}, Chunked: true})
	}
	add("no status line", platformtest.RawAnswer{Status: "X-No: status"})
	add("blank line before the head", platformtest.RawAnswer{Before: "\r\n"})
	add("field before the status line", platformtest.RawAnswer{Before: "X-Odd: a\r\n"})
	add("malformed interim answer", platformtest.RawAnswer{Before: "HTTP/1.1 103 Early Hints\r\nX Odd: a\r\n\r\n"})
	add("chunks in HTTP/1.0", platformtest.RawAnswer{Status: "HTTP/1.0 200 OK", Framing: []string{chunkedBody}, Chunked: true})
	for _, field := range []string{"X Odd: a", "X-Odd: a\x01b"} {
		answer := platformtest.RawAnswer{Framing: []string{chunkedBody}, Chunked: true, Trailer: []string{field}}
		forms = append(forms, headForm{name: fmt.Sprintf("trailer field %q", field), answer: answer, afterHead: true})
	}
	return forms
}

// soundForms are unusual forms that the protocol allows.
func soundForms() []headForm {
	chunks := func(answer platformtest.RawAnswer) platformtest.RawAnswer {
		answer.Framing, answer.Chunked = append([]string{chunkedBody}, answer.Framing...), true
		return answer
	}
	untilClose := []string{"Connection: close"}
	return []headForm{
		{name: "usual", answer: platformtest.RawAnswer{}},
		{name: "no reason", answer: platformtest.RawAnswer{Status: "HTTP/1.1 200 "}},
		{name: "no blank after the status", answer: platformtest.RawAnswer{Status: "HTTP/1.1 200"}},
		{name: "two blanks before the status", answer: platformtest.RawAnswer{Status: "HTTP/1.1  200 OK"}},
		{name: "reason with tab and high bytes", answer: platformtest.RawAnswer{Status: "HTTP/1.1 200 Tr\xe8s\tbien: (a)"}},
		{name: "HTTP/1.0", answer: platformtest.RawAnswer{Status: "HTTP/1.0 200 OK"}},
		{name: "HTTP/1.0, kept open", answer: platformtest.RawAnswer{Status: "HTTP/1.0 200 OK", Fields: []string{"Connection: keep-alive"}}},
		{name: "HTTP/1.2", answer: platformtest.RawAnswer{Status: "HTTP/1.2 200 OK"}},
		{name: "HTTP/1.2 with chunks", answer: chunks(platformtest.RawAnswer{Status: "HTTP/1.2 200 OK"})},
		{name: "until the end of the connection", answer: platformtest.RawAnswer{Framing: untilClose}},
		{name: "HTTP/1.0 until the end of the connection", answer: platformtest.RawAnswer{Status: "HTTP/1.0 200 OK", Framing: []string{}}},
		{name: "chunks", answer: chunks(platformtest.RawAnswer{})},
		{name: "chunks in capitals", answer: platformtest.RawAnswer{Framing: []string{"TRANSFER-ENCODING: CHUNKED"}, Chunked: true}},
		{name: "chunks beside a length", answer: chunks(platformtest.RawAnswer{Framing: []string{"Content-Length: 8"}})},
		{name: "trailer", answer: chunks(platformtest.RawAnswer{Trailer: []string{"X-Odd: a"}})},
		{name: "announced trailer", answer: chunks(platformtest.RawAnswer{Framing: []string{"Trailer: X-Odd"}, Trailer: []string{"X-Odd: a"}})},
		{name: "field without a blank", answer: platformtest.RawAnswer{Fields: []string{"X-Odd:a"}}},
		{name: "field with blanks around its value", answer: platformtest.RawAnswer{Fields: []string{"X-Odd: \t a \t "}}},
		{name: "empty field", answer: platformtest.RawAnswer{Fields: []string{"X-Odd:"}}},
		{name: "field with all characters of names", answer: platformtest.RawAnswer{Fields: []string{"x-odd!#$%&'*+.^_`|~9: a"}}},
		{name: "field with high bytes", answer: platformtest.RawAnswer{Fields: []string{"X-Odd: \xe9\x80\xff"}}},
		{name: "field with a colon and a tab", answer: platformtest.RawAnswer{Fields: []string{"X-Odd: a:\tb"}}},
		{name: "field twice", answer: platformtest.RawAnswer{Fields: []string{"X-Odd: a", "X-Odd: b"}}},
		{name: "folded field", answer: platformtest.RawAnswer{Fields: []string{"X-Odd: a", " b", "\t  c"}}},
		{name: "folded framing", answer: platformtest.RawAnswer{Framing: []string{"Transfer-Encoding:", " chunked"}, Chunked: true}},
		{name: "bare line feeds", answer: platformtest.RawAnswer{LineEnd: "\n"}},
		{name: "bare line feeds and chunks", answer: chunks(platformtest.RawAnswer{LineEnd: "\n"})},
		{name: "bare line feed in one line", answer: platformtest.RawAnswer{Fields: []string{"X-Odd: a\nX-Other: b"}}},
		{name: "100 Continue", answer: platformtest.RawAnswer{Before: "HTTP/1.1 100 Continue\r\n\r\n"}},
		{name: "interim answers", answer: platformtest.RawAnswer{Before: strings.Repeat("HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n", 200)}},
		{name: "an interim answer of an unknown kind", answer: platformtest.RawAnswer{Before: "HTTP/1.1 199 Odd\nX-Odd: a\n\n"}},
	}
}

// sendRaw sends a call on a connection of its own and returns all bytes that come back. The library of the tests' client rejects some answers.
func (d *deployment) sendRaw(g *testGateway, path, id, body string) string {
	d.t.Helper()
	conn, err := net.Dial("tcp", g.set.Listen.String())
	if err != nil {
		d.t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	request, err := http.NewRequest(http.MethodPost, g.url+path, strings.NewReader(body))
	if err != nil {
		d.t.Fatal(err)
	}
	request.Host, request.Close = hostName, true
	platformtest.SetCallerHeaders(request, id, keyNorth, 5*time.Second)
	if err := conn.SetDeadline(time.Now().Add(gatewayTimeout)); err != nil {
		d.t.Fatal(err)
	}
	if err := request.Write(conn); err != nil {
		d.t.Fatal(err)
	}
	received, err := io.ReadAll(conn)
	if err != nil {
		d.t.Errorf("after %q: %v", received, err)
	}
	return string(received)
}

// parseAnswer decodes one answer, after which nothing may follow.
func (d *deployment) parseAnswer(raw string) callResult {
	d.t.Helper()
	reader := bufio.NewReader(strings.NewReader(raw))
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		d.t.Errorf("answer %q: %v", raw, err)
		return callResult{}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if rest, _ := io.ReadAll(reader); err != nil || len(rest) > 0 {
		d.t.Errorf("answer %q: %v", raw, err)
	}
	return callResult{status: response.StatusCode, header: response.Header, body: string(body)}
}

// answerRaw makes the servers answer in the given way.
func answerRaw(servers []*platformtest.Server, answer platformtest.RawAnswer) {
	for _, server := range servers {
		server.SetRawAnswer(func(*http.Request) *platformtest.RawAnswer { return &answer })
	}
}

// Guards against callers who get an answer that the protocol doesn't allow, as a success, with its lines, or with another body.
func TestMalformedAnswersAreNotPassedOn(t *testing.T) {
	t.Parallel()
	d := newDeployment(t, 1)
	for i, form := range malformedForms() {
		t.Run(form.name, func(t *testing.T) {
			d.t = t
			answerRaw(d.services, form.answer)
			before := d.serviceRequests()
			began := time.Now()
			got := d.parseAnswer(d.sendRaw(d.gateways[0], "/once/x", fmt.Sprintf("call-%d", i), "question"))
			if _, signed := platformtest.Signed(got.header); got.status != http.StatusBadGateway || signed {
				t.Errorf("%+v", got)
			}
			if took := time.Since(began); took > time.Second {
				t.Errorf("refused after %v", took)
			}
			if sent := d.serviceRequests() - before; sent != 1 {
				t.Errorf("the call was sent %d times", sent)
			}
			if !form.afterHead && !strings.Contains(got.body, `"serverFailed"`) {
				t.Errorf("body %s", got.body)
			}
		})
	}
}

func (d *deployment) serviceRequests() int {
	count := 0
	for _, service := range d.services {
		count += len(service.Requests())
	}
	return count
}

// Guards against a stricter reader of heads that refuses answers which the protocol allows, or passes them on in another form.
func TestSoundAnswersOfUnusualFormArePassedOn(t *testing.T) {
	t.Parallel()
	d := newDeployment(t, 1)
	for i, form := range soundForms() {
		t.Run(form.name, func(t *testing.T) {
			d.t = t
			answerRaw(d.services, form.answer)
			id := fmt.Sprintf("call-%d", i)
			raw := d.sendRaw(d.gateways[0], "/once/x", id, "question")
			got := d.parseAnswer(raw)
			if _, signed := platformtest.Signed(got.header); got.status != http.StatusOK || !signed || !strings.HasSuffix(got.body, " answers question") {
				t.Errorf("%+v", got)
			}
			if !strings.HasPrefix(raw, "HTTP/1.1 200") {
				t.Errorf("answer %q", raw)
			}
			for _, odd := range got.header["X-Odd"] {
				if strings.TrimSpace(odd) != odd || strings.ContainsAny(odd, "\r\n") {
					t.Errorf("field %q", odd)
				}
			}
		})
	}
}

// Guards against answers of an unknown class that are changed or taken for a success: they are failures of the server.
func TestAnswersOfAnUnknownClassAreFailures(t *testing.T) {
	t.Parallel()
	for _, status := range []int{600, 999} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			d := newDeployment(t, 1)
			answer := platformtest.RawAnswer{Status: fmt.Sprintf("HTTP/1.1 %d Odd", status)}
			answerRaw(d.services, answer)
			got := d.parseAnswer(d.sendRaw(d.gateways[0], "/once/x", "call-1", "question"))
			if _, signed := platformtest.Signed(got.header); got.status != status || !signed || !strings.HasSuffix(got.body, " answers question") {
				t.Errorf("%+v", got)
			}
			d.answerFirstRaw(d.services, answer)
			got = d.parseAnswer(d.sendRaw(d.gateways[0], "/safe/x", "call-2", "question"))
			if got.status != http.StatusOK {
				t.Errorf("a call that may be repeated: %+v", got)
			}
		})
	}
}

// answerFirstRaw makes the servers answer the first request with each ID in the given way, and the others as usual. The function that it returns
// tells how many were answered in this way.
func (d *deployment) answerFirstRaw(servers []*platformtest.Server, answer platformtest.RawAnswer) func() int {
	var mu sync.Mutex
	seen := map[string]bool{}
	for _, server := range servers {
		server.SetRawAnswer(func(r *http.Request) *platformtest.RawAnswer {
			mu.Lock()
			defer mu.Unlock()
			id := r.Header.Get("X-Request-Id")
			if id == "" || seen[id] {
				return nil
			}
			seen[id] = true
			return &answer
		})
	}
	return func() int {
		mu.Lock()
		defer mu.Unlock()
		return len(seen)
	}
}

// forged returns the answer with a body and a signature by which it can be told from usual ones.
func forged(answer platformtest.RawAnswer, body string) platformtest.RawAnswer {
	answer.Body, answer.Signature = body, forgedSignature
	return answer
}

// Guards against a call that may be repeated, and ends with a malformed answer although another server answers it.
func TestCallIsRepeatedAfterAMalformedAnswer(t *testing.T) {
	t.Parallel()
	d := newDeployment(t, 1)
	for i, form := range malformedForms() {
		t.Run(form.name, func(t *testing.T) {
			d.t = t
			malformed := d.answerFirstRaw(d.services, forged(form.answer, forgedBody))
			got := d.parseAnswer(d.sendRaw(d.gateways[0], "/safe/x", fmt.Sprintf("call-%d", i), "question"))
			if got.status != http.StatusOK || !strings.HasSuffix(got.body, " answers question") {
				t.Errorf("%+v", got)
			}
			if malformed() != 1 {
				t.Errorf("%d malformed answers", malformed())
			}
		})
	}
}

// Guards against a hedge whose malformed answer ends the call that the first server is about to answer.
func TestMalformedAnswerToAHedgeIsNotPassedOn(t *testing.T) {
	t.Parallel()
	d := newDeployment(t, 1)
	var mu sync.Mutex
	arrived := 0
	for _, server := range d.services {
		server.SetRawAnswer(func(*http.Request) *platformtest.RawAnswer {
			mu.Lock()
			arrived++
			first := arrived == 1
			mu.Unlock()
			if first {
				time.Sleep(time.Second)
				return nil
			}
			return &platformtest.RawAnswer{Status: "HTTP/1.1 000 OK", Body: forgedBody, Signature: forgedSignature}
		})
	}
	got := d.parseAnswer(d.sendRaw(d.gateways[0], "/safe/x", "call", "question"))
	mu.Lock()
	defer mu.Unlock()
	if got.status != http.StatusOK || !strings.HasSuffix(got.body, " answers question") || arrived != 2 {
		t.Errorf("%+v after %d requests", got, arrived)
	}
}

// keyForms are the malformed forms that the tests of other readers use.
func keyForms() []headForm {
	return []headForm{
		{name: "status 000", answer: platformtest.RawAnswer{Status: "HTTP/1.1 000 OK"}},
		{name: "blank in a name", answer: platformtest.RawAnswer{Fields: []string{"X Odd: a"}}},
		{name: "blank in the transfer encoding", answer: platformtest.RawAnswer{Framing: []string{"Transfer Encoding: chunked"}, Chunked: true}},
	}
}

// Guards against items that are completed with the text of a malformed answer, or not completed at all.
func TestMalformedAnswersToItemsAreNoResults(t *testing.T) {
	t.Parallel()
	for _, form := range keyForms() {
		t.Run(form.name, func(t *testing.T) {
			d := newDeployment(t, 1)
			malformed := d.answerFirstRaw(d.engines, forged(form.answer, "id: 1\ndata: "+forgedBody+"\n\n"))
			d.submit(d.gateways[0], "j1", submission(4, 4, 1))
			d.checkResults(d.readAll(d.gateways[0], "j1", 8), 8, streamEvents)
			if malformed() < 8 {
				t.Errorf("%d items got a malformed answer", malformed())
			}
		})
	}
}

// Guards against scores that are taken from malformed answers to reward calls.
func TestMalformedAnswersToRewardCallsAreNoScores(t *testing.T) {
	t.Parallel()
	for _, form := range keyForms() {
		t.Run(form.name, func(t *testing.T) {
			d := newDeployment(t, 1)
			malformed := d.answerFirstRaw(d.services, forged(form.answer, forgedBody))
			d.submit(d.gateways[0], "j1", scoredSubmission(2))
			all := d.readAll(d.gateways[0], "j1", 4)
			d.checkResults(all, 4, streamEvents)
			d.checkScores(all)
			if malformed() < 4 {
				t.Errorf("%d reward calls got a malformed answer", malformed())
			}
		})
	}
}

// Guards against orders that follow from a malformed report of an engine, and against an order that counts as carried out by a malformed answer.
func TestMalformedReportsAndAnswersToOrdersAreNotBelieved(t *testing.T) {
	t.Parallel()
	const forgedCount = 7
	for _, form := range keyForms()[:2] {
		t.Run(form.name, func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t, 1)
			for _, engine := range d.engines {
				var mu sync.Mutex
				answered := map[string]int{}
				engine.SetRawAnswer(func(r *http.Request) *platformtest.RawAnswer {
					mu.Lock()
					defer mu.Unlock()
					answered[r.URL.Path]++
					answer := form.answer
					answer.NoEffect = true
					switch {
					case r.URL.Path == "/report" && answered[r.URL.Path] <= 2:
						answer.Body = fmt.Sprintf(`{"seq":%d,"busy":false,"models":[{"name":"m","version":1}]}`, forgedCount)
						return &answer
					case r.URL.Path == "/order" && answered[r.URL.Path] == 1:
						return &answer
					default:
						return nil
					}
				})
			}
			d.store.PutModelVersion("m", 2)
			for _, engine := range d.engines {
				d.eventually(engine.ID+" has carried out an order", func() bool { return len(engine.Orders()) == 1 })
				d.store.Register(engine, false)
				for _, order := range engine.ReceivedOrders() {
					if order.Expect == nil || *order.Expect == forgedCount {
						t.Errorf("%s got the order %+v", engine.ID, order)
					}
				}
			}
		})
	}
}

// Guards against a batch job that counts as accepted because the store's answer to its creation is malformed.
func TestMalformedAnswerOfTheStoreAcceptsNoJob(t *testing.T) {
	t.Parallel()
	for _, form := range keyForms() {
		t.Run(form.name, func(t *testing.T) {
			d := newDeployment(t, 1)
			var mu sync.Mutex
			malformed := 0
			d.gateways[0].storeEndpoint.SetRawAnswer(func(r *http.Request) *platformtest.RawAnswer {
				mu.Lock()
				defer mu.Unlock()
				if malformed == 3 || !strings.HasPrefix(r.Method+" "+r.URL.Path, platformtest.CreateJobCall) {
					return nil
				}
				malformed++
				answer := form.answer
				answer.NoEffect, answer.Body = true, `{"metadata":{"name":"j1","revision":1000}}`
				return &answer
			})
			d.eventually("the job is accepted", func() bool {
				got := d.call(d.gateways[0], http.MethodPost, "/job/j1", keyNorth, "j1", submission(2, 2, 1))
				if _, stored := d.store.Get("jobs", "j1"); got.status == http.StatusAccepted && !stored {
					t.Errorf("accepted, and not in the store: %+v", got)
				}
				return got.status == http.StatusAccepted
			})
			d.checkResults(d.readAll(d.gateways[0], "j1", 4), 4, streamEvents)
			mu.Lock()
			defer mu.Unlock()
			if malformed != 3 {
				t.Errorf("%d malformed answers", malformed)
			}
		})
	}
}

// Guards against a configuration that is taken from a malformed answer of the store.
func TestMalformedAnswerOfTheStoreChangesNoConfiguration(t *testing.T) {
	t.Parallel()
	for _, form := range keyForms() {
		t.Run(form.name, func(t *testing.T) {
			d := newDeployment(t, 1)
			object, _ := d.store.Get("config", "main")
			forgedSpec := bytes.ReplaceAll(object.Spec, []byte("/safe/"), []byte("/gone/"))
			var mu sync.Mutex
			malformed := 0
			d.gateways[0].storeEndpoint.SetRawAnswer(func(r *http.Request) *platformtest.RawAnswer {
				if r.URL.Path != "/objects/config" || r.URL.Query().Get("watch") == "" {
					return nil
				}
				mu.Lock()
				defer mu.Unlock()
				if malformed++; malformed > 5 {
					return nil
				}
				answer := form.answer
				answer.NoEffect = true
				answer.Body = fmt.Sprintf(`{"events":[{"object":{"metadata":{"name":"main","revision":100000},"spec":%s},"removed":false}],"current_rev":100000}`,
					bytes.Replace(forgedSpec, []byte(`"version":1`), []byte(`"version":99`), 1))
				return &answer
			})
			d.store.Put("config", "main", object.Spec)
			d.eventually("the store has answered", func() bool {
				got := d.call(d.gateways[0], http.MethodPost, "/safe/x", keyNorth, "call", "question")
				if got.status != http.StatusOK {
					t.Fatalf("%+v", got)
				}
				mu.Lock()
				defer mu.Unlock()
				return malformed > 5
			})
		})
	}
}

// Guards against usage that is never reported because a malformed answer counts as that to its report.
func TestMalformedAnswerToAUsageReport(t *testing.T) {
	t.Parallel()
	for _, form := range keyForms() {
		t.Run(form.name, func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t, 1)
			d.eventually("usage is reported", func() bool { return len(d.usageReceiver.Reports()) > 0 })
			const calls = 5
			for i := range calls {
				if got := d.call(d.gateways[0], http.MethodPost, "/safe/x", keyNorth, fmt.Sprintf("call-%d", i), "q"); got.status != http.StatusOK {
					t.Fatalf("%+v", got)
				}
			}
			// The window of the calls ends within a second, and is reported some seconds later.
			soundAt := time.Now().Add(5 * time.Second)
			d.usageReceiver.SetRawAnswer(func(*http.Request) *platformtest.RawAnswer {
				if time.Now().After(soundAt) {
					return nil
				}
				answer := form.answer
				answer.NoEffect = true
				return &answer
			})
			d.eventually("all calls are reported", func() bool {
				reported := uint64(0)
				windows := map[int64]uint64{}
				for _, report := range d.usageReceiver.Reports() {
					windows[report.Window] = report.Counts["north"]
				}
				for _, count := range windows {
					reported += count
				}
				return reported == calls
			})
		})
	}
}

// Guards against a store, or another service of the platform, that answers without end and thereby takes the memory of the gateway.
func TestEndlessAnswersOfThePlatform(t *testing.T) {
	const disturbance = time.Second
	for _, form := range []headForm{
		{name: "header line", answer: platformtest.RawAnswer{Fields: []string{"X-Odd: a"}, LineEnd: " ", Endless: "a"}},
		{name: "header lines", answer: platformtest.RawAnswer{LineEnd: "\r\nX-Odd: a", Endless: "\r\nX-Odd: a"}},
		{name: "no status line", answer: platformtest.RawAnswer{Before: "a", LineEnd: " ", Endless: "a"}},
		{name: "interim answers", answer: platformtest.RawAnswer{
			Before: "HTTP/1.1 100 Continue\r\n\r\n", Status: "HTTP/1.1 103 Early Hints", Framing: []string{}, Endless: "HTTP/1.1 103 Early Hints\r\n\r\n",
		}},
		{name: "body without a length", answer: platformtest.RawAnswer{Framing: []string{"Connection: close"}, Endless: " "}},
		{name: "body of a declared length", answer: platformtest.RawAnswer{Framing: []string{"Content-Length: 1099511627776"}, Endless: " "}},
		{name: "chunks", answer: platformtest.RawAnswer{Framing: []string{chunkedBody}, Body: "1\r\na\r\n", Endless: "1\r\na\r\n"}},
	} {
		t.Run(form.name, func(t *testing.T) {
			d := newDeployment(t, 1)
			var mu sync.Mutex
			endless := 0
			answerEndlessly := func(*http.Request) *platformtest.RawAnswer {
				mu.Lock()
				defer mu.Unlock()
				endless++
				return &form.answer
			}
			checkHeap := watchHeap(t)
			d.gateways[0].storeEndpoint.SetRawAnswer(answerEndlessly)
			d.usageReceiver.SetRawAnswer(answerEndlessly)
			for end, i := time.Now().Add(disturbance), 0; time.Now().Before(end); i++ {
				got := d.call(d.gateways[0], http.MethodPost, "/safe/x", keyNorth, fmt.Sprintf("call-%d", i), "question")
				if got.status != http.StatusOK {
					t.Errorf("%+v", got)
				}
				time.Sleep(50 * time.Millisecond)
			}
			d.gateways[0].storeEndpoint.SetRawAnswer(nil)
			d.usageReceiver.SetRawAnswer(nil)
			checkHeap()
			mu.Lock()
			defer mu.Unlock()
			if endless == 0 {
				t.Error("no answer without end")
			}
			t.Logf("%d answers without end", endless)
		})
	}
}
