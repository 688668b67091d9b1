package medlarload

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"medlarwheel"
)

// KeyStyle tells how a request key is made.
type KeyStyle string

// The styles.
const (
	// KeysNone sends no key.
	KeysNone KeyStyle = "none"
	// KeysPlain makes unique keys that name no data centre.
	KeysPlain KeyStyle = "plain"
	// KeysDataCentre makes unique keys of the form <data-centre>:<rest>.
	KeysDataCentre KeyStyle = "home"
	// KeysTimestamped makes unique keys of the form <data-centre>:<unix-ms>:<rest>.
	KeysTimestamped KeyStyle = "timed"
	// KeysDuplicated is like KeysPlain, with two callers that use each key at the same time through different targets.
	KeysDuplicated KeyStyle = "double"
)

// RequestKind is one kind of request with its share of the mix.
type RequestKind struct {
	Template   medlarwheel.TemplateName
	Account    medlarwheel.AccountID
	Method     string
	Keys       KeyStyle
	DataCentre medlarwheel.DataCentreID
	Weight     int
}

// ParseRequestKind reads a kind from text such as
// "template=holds,account=parents,method=POST,keys=home:d1,weight=3". Only the template is needed.
func ParseRequestKind(text string) (RequestKind, error) {
	k := RequestKind{Account: "load", Method: fasthttp.MethodPost, Keys: KeysPlain, Weight: 1}
	for _, part := range strings.Split(text, ",") {
		name, value, _ := strings.Cut(part, "=")
		switch name {
		case "template":
			k.Template = medlarwheel.TemplateName(value)
		case "account":
			k.Account = medlarwheel.AccountID(value)
		case "method":
			k.Method = strings.ToUpper(value)
		case "keys":
			style, dataCentre, _ := strings.Cut(value, ":")
			k.Keys, k.DataCentre = KeyStyle(style), medlarwheel.DataCentreID(dataCentre)
		case "weight":
			weight, err := strconv.Atoi(value)
			if err != nil {
				return RequestKind{}, fmt.Errorf("mix %q: weight: %w", text, err)
			}
			k.Weight = weight
		default:
			return RequestKind{}, fmt.Errorf("mix %q: unknown part %q", text, name)
		}
	}
	if err := k.check().Err(); err != nil {
		return RequestKind{}, fmt.Errorf("mix %q: %w", text, err)
	}
	return k, nil
}

func (k *RequestKind) check() medlarwheel.Faults {
	faults := medlarwheel.CheckName("template", string(k.Template))
	faults = append(faults, medlarwheel.CheckName("account", string(k.Account))...)
	switch k.Keys {
	case KeysNone, KeysPlain, KeysDuplicated:
	case KeysDataCentre, KeysTimestamped:
		faults = append(faults, medlarwheel.CheckName("keys", string(k.DataCentre))...)
	default:
		faults = faults.Add("keys", string(k.Keys), "none, plain, home:<data-centre>, timed:<data-centre> or double")
	}
	return faults.CheckRange("weight", int64(k.Weight), 1, 1_000_000)
}

// mutates reports whether requests of the kind may change something, so that their runs are counted.
func (k *RequestKind) mutates() bool {
	return k.Method != fasthttp.MethodGet && k.Method != fasthttp.MethodHead
}

// key makes the key of the request with the given number.
func (k *RequestKind) key(run string, number int, now time.Time) medlarwheel.RequestKey {
	rest := fmt.Sprintf("%s-%d", run, number)
	switch k.Keys {
	case KeysNone:
		rest = ""
	case KeysDataCentre:
		rest = fmt.Sprintf("%s:%s", k.DataCentre, rest)
	case KeysTimestamped:
		rest = fmt.Sprintf("%s:%d:%s", k.DataCentre, now.UnixMilli(), rest)
	case KeysPlain, KeysDuplicated:
	}
	return medlarwheel.RequestKey(rest)
}

// chooseKind draws a kind by weight.
func chooseKind(mix []RequestKind, random *rand.Rand) *RequestKind {
	total := 0
	for i := range mix {
		total += mix[i].Weight
	}
	draw := random.IntN(total)
	for i := range mix {
		if draw -= mix[i].Weight; draw < 0 {
			return &mix[i]
		}
	}
	return &mix[len(mix)-1]
}
