package placement

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/valyala/fasthttp"
)

// Errors that sending an order can return.
var (
	// ErrRefused means that the engine rejected the order.
	ErrRefused = errors.New("placement: engine refused the order")
	// ErrNotSent means that no connection to the engine could be opened, so that it did not receive the order.
	ErrNotSent = errors.New("placement: engine unreachable")
	// ErrUncertain means that no response arrived. The engine may have accepted the order, or may still do so.
	ErrUncertain = errors.New("placement: outcome of the order is uncertain")
)

const (
	engineTimeout    = time.Second
	dialTimeout      = 500 * time.Millisecond
	maxResponseBytes = 1 << 20
)

// orderRequest is the body of POST /v1/orders.
type orderRequest struct {
	Kind    string `json:"kind"`
	Model   string `json:"model,omitempty"`
	Version string `json:"version,omitempty"`
	Role    string `json:"role,omitempty"`
	Fencing uint64 `json:"fencing"`
}

// Engines is an EngineClient that uses the HTTP API of the engines. It is safe for concurrent use.
type Engines struct {
	reads *fasthttp.Client
	// orders opens a connection for each order: if the engine closed a reused one, the outcome would be unknown.
	orders *fasthttp.Client
}

// NewEngines returns a client without open connections.
func NewEngines() *Engines {
	client := func() *fasthttp.Client {
		return &fasthttp.Client{
			MaxResponseBodySize: maxResponseBytes, MaxIdemponentCallAttempts: 1, Dial: dial,
			RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		}
	}
	return &Engines{reads: client(), orders: client()}
}

func dial(address string) (net.Conn, error) {
	conn, err := net.DialTimeout("tcp", address, dialTimeout)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	return conn, nil
}

// Status requests an engine's models and load.
func (e *Engines) Status(address string) (Status, error) {
	var status Status
	if err := e.get("http://"+address+"/v1/status", &status); err != nil {
		return Status{}, err
	}
	var load struct {
		Running int `json:"running"`
		Queued  int `json:"queued"`
	}
	if err := e.get("http://"+address+"/v1/load", &load); err != nil {
		return Status{}, err
	}
	status.Load = load.Running + load.Queued
	return status, nil
}

func (e *Engines) get(uri string, target any) error {
	code, body, err := e.reads.GetTimeout(nil, uri, engineTimeout)
	if err != nil {
		return fmt.Errorf("placement: read %s: %w", uri, err)
	}
	if code != http.StatusOK {
		return fmt.Errorf("placement: read %s: status %d", uri, code)
	}
	if err := json.Unmarshal(body, target); err != nil {
		return fmt.Errorf("placement: decode response from %s: %w", uri, err)
	}
	return nil
}

// Load orders an engine to load a model. The engine responds before it reads the weights; Status shows when the load
// has ended.
func (e *Engines) Load(address string, order Order, fencing uint64) error {
	return e.sendOrder(address, orderRequest{Kind: "load", Model: order.Model, Version: order.Version, Fencing: fencing})
}

// SendFencing sends the fencing number in an order that sets the role. It changes nothing if the engine has this role.
func (e *Engines) SendFencing(address, role string, fencing uint64) error {
	return e.sendOrder(address, orderRequest{Kind: "role", Role: role, Fencing: fencing})
}

func (e *Engines) sendOrder(address string, order orderRequest) error {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	body, err := json.Marshal(order)
	if err != nil {
		return fmt.Errorf("placement: encode order: %w", err)
	}
	request.SetRequestURI("http://" + address + "/v1/orders")
	request.Header.SetMethod(http.MethodPost)
	request.Header.SetContentType("application/json")
	request.SetConnectionClose()
	request.SetBody(body)
	switch err := e.orders.DoTimeout(request, response, engineTimeout); {
	case errors.Is(err, ErrNotSent):
		return err
	case err != nil:
		return fmt.Errorf("%w: %w", ErrUncertain, err)
	case response.StatusCode() != http.StatusOK:
		return fmt.Errorf("%w: status %d: %s", ErrRefused, response.StatusCode(), response.Body())
	}
	return nil
}
