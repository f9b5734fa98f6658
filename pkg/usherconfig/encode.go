package usherconfig

import (
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"
)

type (
	// The wire types below define the CBOR encoding of the published values, with integer keys to keep them short.
	// Where a wire type has the same fields as its model type, they are converted directly.

	indexWire struct {
		Format   int        `cbor:"1,keyasint"`
		Revision uint64     `cbor:"2,keyasint"`
		Shards   [][]Digest `cbor:"3,keyasint"` // by kind and number
	}

	serviceWire struct {
		Name           string      `cbor:"1,keyasint"`
		Kind           ServiceKind `cbor:"2,keyasint"`
		Model          string      `cbor:"3,keyasint,omitempty"`
		Adapters       []string    `cbor:"4,keyasint,omitempty"`
		LoadsPerMinute int         `cbor:"5,keyasint,omitempty"`
	}

	targetWire struct {
		Name               string         `cbor:"1,keyasint"`
		Address            netip.AddrPort `cbor:"2,keyasint"`
		DataCentre         string         `cbor:"3,keyasint"`
		Service            string         `cbor:"4,keyasint"`
		ChecksFence        bool           `cbor:"5,keyasint,omitempty"`
		MaxColdConcurrency int            `cbor:"6,keyasint"`
		MemoryTokens       int            `cbor:"7,keyasint,omitempty"`
		MaxWarmConcurrency int            `cbor:"8,keyasint"`
		InService          bool           `cbor:"9,keyasint,omitempty"`
		Role               string         `cbor:"10,keyasint,omitempty"`
	}

	dataCentreWire struct {
		Name      string `cbor:"1,keyasint"`
		Region    string `cbor:"2,keyasint"`
		InService bool   `cbor:"3,keyasint,omitempty"`
	}

	hostWire struct {
		Name       string         `cbor:"1,keyasint"`
		Address    netip.AddrPort `cbor:"2,keyasint"`
		DataCentre string         `cbor:"3,keyasint"`
		Role       Role           `cbor:"4,keyasint"`
		InService  bool           `cbor:"5,keyasint,omitempty"`
	}

	templateWire struct {
		Name            string          `cbor:"1,keyasint"`
		Kind            TemplateKind    `cbor:"2,keyasint"`
		Service         string          `cbor:"3,keyasint"`
		Delivery        Delivery        `cbor:"4,keyasint"`
		Idempotent      bool            `cbor:"5,keyasint,omitempty"`
		Priority        int             `cbor:"6,keyasint,omitempty"`
		MaxOutputTokens int             `cbor:"7,keyasint,omitempty"`
		KeepAnswer      bool            `cbor:"8,keyasint,omitempty"`
		Timeout         time.Duration   `cbor:"9,keyasint"`
		Prompt          string          `cbor:"10,keyasint,omitempty"`
		Parameters      []parameterWire `cbor:"11,keyasint,omitempty"`
	}

	parameterWire struct {
		Name     string        `cbor:"1,keyasint"`
		Type     ParameterType `cbor:"2,keyasint"`
		Min      int           `cbor:"3,keyasint,omitempty"`
		Max      int           `cbor:"4,keyasint,omitempty"`
		Values   []string      `cbor:"5,keyasint,omitempty"`
		Default  *string       `cbor:"6,keyasint,omitempty"`
		Required bool          `cbor:"7,keyasint,omitempty"`
	}

	workspaceWire struct {
		Name              string               `cbor:"1,keyasint"`
		RequestsPerSecond float64              `cbor:"2,keyasint"`
		Burst             int                  `cbor:"3,keyasint"`
		Weight            int                  `cbor:"4,keyasint"`
		KeyHash           KeyHash              `cbor:"5,keyasint"`
		Values            []parameterValueWire `cbor:"6,keyasint,omitempty"`
	}

	parameterValueWire struct {
		Template  string `cbor:"1,keyasint"`
		Parameter string `cbor:"2,keyasint"`
		Value     string `cbor:"3,keyasint"`
	}
)

var (
	encMode = must(cbor.CoreDetEncOptions().EncMode())
	decMode = must(cbor.DecOptions{
		DupMapKey:         cbor.DupMapKeyEnforcedAPF,
		IndefLength:       cbor.IndefLengthForbidden,
		TagsMd:            cbor.TagsForbidden,
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
		MaxNestedLevels:   8,
	}.DecMode())
)

func must[T any](v T, err error) T {
	if err != nil {
		panic(err) // unreachable unless the options above are inconsistent
	}
	return v
}

func encode(v any) []byte {
	return must(encMode.Marshal(v))
}

func encodeService(s Service) []byte       { return encode(serviceWire(s)) }
func encodeTarget(t Target) []byte         { return encode(targetWire(t)) }
func encodeDataCentre(d DataCentre) []byte { return encode(dataCentreWire(d)) }
func encodeHost(h Host) []byte             { return encode(hostWire(h)) }

func encodeTemplate(t Template) []byte {
	wire := templateWire{
		Name: t.Name, Kind: t.Kind, Service: t.Service, Delivery: t.Delivery, Idempotent: t.Idempotent,
		Priority: t.Priority, MaxOutputTokens: t.MaxOutputTokens, KeepAnswer: t.KeepAnswer, Timeout: t.Timeout,
		Prompt: t.Prompt,
	}
	for _, p := range t.Parameters {
		wire.Parameters = append(wire.Parameters, parameterWire(p))
	}
	return encode(wire)
}

func encodeWorkspace(w Workspace) []byte {
	wire := workspaceWire{
		Name: w.Name, RequestsPerSecond: w.RequestsPerSecond, Burst: w.Burst, Weight: w.Weight, KeyHash: w.KeyHash,
	}
	for _, v := range w.Values {
		wire.Values = append(wire.Values, parameterValueWire(v))
	}
	return encode(wire)
}

// decodeFirst decodes the first item in data and returns the remaining bytes.
func decodeFirst[W any](data []byte) (wire W, rest []byte, err error) {
	rest, err = decMode.UnmarshalFirst(data, &wire)
	return wire, rest, err
}

func decodeService(data []byte) (Service, []byte, error) {
	wire, rest, err := decodeFirst[serviceWire](data)
	return Service(wire), rest, err
}

func decodeTarget(data []byte) (Target, []byte, error) {
	wire, rest, err := decodeFirst[targetWire](data)
	return Target(wire), rest, err
}

func decodeDataCentre(data []byte) (DataCentre, []byte, error) {
	wire, rest, err := decodeFirst[dataCentreWire](data)
	return DataCentre(wire), rest, err
}

func decodeHost(data []byte) (Host, []byte, error) {
	wire, rest, err := decodeFirst[hostWire](data)
	return Host(wire), rest, err
}

func decodeTemplate(data []byte) (Template, []byte, error) {
	wire, rest, err := decodeFirst[templateWire](data)
	t := Template{
		Name: wire.Name, Kind: wire.Kind, Service: wire.Service, Delivery: wire.Delivery, Idempotent: wire.Idempotent,
		Priority: wire.Priority, MaxOutputTokens: wire.MaxOutputTokens, KeepAnswer: wire.KeepAnswer,
		Timeout: wire.Timeout, Prompt: wire.Prompt,
	}
	for _, p := range wire.Parameters {
		t.Parameters = append(t.Parameters, Parameter(p))
	}
	return t, rest, err
}

func decodeWorkspace(data []byte) (Workspace, []byte, error) {
	wire, rest, err := decodeFirst[workspaceWire](data)
	w := Workspace{
		Name: wire.Name, RequestsPerSecond: wire.RequestsPerSecond, Burst: wire.Burst, Weight: wire.Weight,
		KeyHash: wire.KeyHash,
	}
	for _, v := range wire.Values {
		w.Values = append(w.Values, ParameterValue(v))
	}
	return w, rest, err
}
