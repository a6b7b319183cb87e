package settings

import (
	"bytes"
	"encoding/json"
	"net/netip"
	"net/url"
	"os"
	"regexp"
	"slices"
	"sort"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
)

// field describes one setting: want states the valid values in error messages, and set decodes a value into Settings.
type field struct {
	want string
	set  func(s *Settings, raw json.RawMessage) error
}

const (
	wantAddress  = `an address with port, such as "127.0.0.1:8080"`
	wantName     = `a name of letters, digits, "-", "_" and ".", such as "om-north-a"`
	wantDuration = `a positive duration, such as "90s"`
	wantFile     = `the path of a file that can be read`
	wantURL      = `a URL, such as "http://10.0.0.5:9000"`
)

var (
	namePattern     = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$`)
	hashPattern     = regexp.MustCompile(`^[0-9a-f]{64}$`)
	errInvalidValue = errors.New("value out of range")
)

var fields = map[string]field{
	"listen":             {wantAddress, addressSetter(func(s *Settings) *netip.AddrPort { return &s.Listen })},
	"peerListen":         {wantAddress, addressSetter(func(s *Settings) *netip.AddrPort { return &s.PeerListen })},
	"peerAdvertise":      {wantAddress, addressSetter(func(s *Settings) *netip.AddrPort { return &s.PeerAdvertise })},
	"adminListen":        {wantAddress, addressSetter(func(s *Settings) *netip.AddrPort { return &s.AdminListen })},
	"availabilityZone":   {wantName, textSetter(validName, func(s *Settings) *string { return &s.AvailabilityZone })},
	"hostId":             {wantName, textSetter(validName, func(s *Settings) *string { return &s.HostID })},
	"platformUrl":        {wantURL, textSetter(validURL, func(s *Settings) *string { return &s.PlatformURL })},
	"dataFolder":         {`the path of a folder`, textSetter(notEmpty, func(s *Settings) *string { return &s.DataFolder })},
	"logLevel":           {`one of "debug", "info", "warn", "error"`, setLogLevel},
	"pool":               {wantName, textSetter(validName, func(s *Settings) *string { return &s.Pool })},
	"serverUrl":          {wantURL, textSetter(validURL, func(s *Settings) *string { return &s.ServerURL })},
	"peerSecret":         {`a string of at least 16 characters`, textSetter(validSecret, func(s *Settings) *string { return &s.PeerSecret })},
	"tlsCertificateFile": {wantFile, textSetter(isReadable, func(s *Settings) *string { return &s.TLSCertificateFile })},
	"tlsKeyFile":         {wantFile, textSetter(isReadable, func(s *Settings) *string { return &s.TLSKeyFile })},
	"tlsAuthorityFile":   {wantFile, textSetter(isReadable, func(s *Settings) *string { return &s.TLSAuthorityFile })},
	"operatorKeyHashes":  {`a list of SHA-256 sums in lower-case hexadecimal`, setOperatorKeys},
	"usageWindow":        {`a duration of whole seconds, such as "1h"`, setUsageWindow},
	"leaveDelay":         {wantDuration, durationSetter(func(s *Settings) *time.Duration { return &s.LeaveDelay })},
	"drainTime":          {wantDuration, durationSetter(func(s *Settings) *time.Duration { return &s.DrainTime })},
	"weightSpread":       {wantDuration, durationSetter(func(s *Settings) *time.Duration { return &s.WeightSpread })},
	"reportsUrl":         {wantURL, textSetter(validURL, func(s *Settings) *string { return &s.ReportsURL })},
	"seeds":              {`a list of addresses with ports`, setSeeds},
	"processorCores":     {`a number of cores from 0.01 to 1024, such as 0.5`, setProcessorCores},
	"regions":            {`an object that maps availability zones to regions, such as {"om-north-a": "om-north"}`, setRegions},
	"speedPlacement":     {`one of "off", "auto"`, textSetter(validSpeedPlacement, func(s *Settings) *string { return &s.SpeedPlacement })},
	"earlyGeneration":    {`"on" or "off"`, switchSetter(func(s *Settings) *bool { return &s.EarlyGeneration })},
	"bodyLimitBytes":     {`a whole number of bytes from 1024 to 1073741824`, numberSetter(1<<10, 1<<30, func(s *Settings) *int { return &s.BodyLimitBytes })},
	"memoryMB":           {`a whole number of megabytes from 32 to 1048576`, numberSetter(32, 1<<20, func(s *Settings) *int { return &s.MemoryMB })},
	"maxDescriptors":     {`a whole number from 256 to 1048576`, numberSetter(256, MaxDescriptors, func(s *Settings) *int { return &s.MaxDescriptors })},
}

// gatewayFields apply to gateways only.
var gatewayFields = []string{"earlyGeneration", "peerAdvertise", "processorCores", "regions", "reportsUrl", "seeds", "speedPlacement"}

// knownFields returns the names of all fields, sorted. Fields for gateways only are left out for other roles.
func knownFields(role Role) []string {
	names := make([]string, 0, len(fields))
	for name := range fields {
		if role == RoleGateway || !slices.Contains(gatewayFields, name) {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names
}

// decode decodes one JSON value and rejects unknown fields and null.
func decode[T any](raw json.RawMessage) (T, error) {
	var value T
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(&value)
	if err == nil && string(raw) == "null" {
		err = errInvalidValue
	}
	return value, err
}

// textSetter returns a setter for a string that valid accepts.
func textSetter(valid func(string) bool, target func(*Settings) *string) func(*Settings, json.RawMessage) error {
	return func(s *Settings, raw json.RawMessage) error {
		value, err := decode[string](raw)
		if err != nil {
			return err
		}
		if !valid(value) {
			return errInvalidValue
		}
		*target(s) = value
		return nil
	}
}

// addressSetter returns a setter for an IP address with port.
func addressSetter(target func(*Settings) *netip.AddrPort) func(*Settings, json.RawMessage) error {
	return func(s *Settings, raw json.RawMessage) error {
		value, err := decode[netip.AddrPort](raw)
		if err != nil {
			return err
		}
		if !value.IsValid() {
			return errInvalidValue
		}
		*target(s) = value
		return nil
	}
}

// durationSetter returns a setter for a positive duration in the format of time.ParseDuration.
func durationSetter(target func(*Settings) *time.Duration) func(*Settings, json.RawMessage) error {
	return func(s *Settings, raw json.RawMessage) error {
		text, err := decode[string](raw)
		if err != nil {
			return err
		}
		value, err := time.ParseDuration(text)
		if err != nil {
			return err
		}
		if value <= 0 {
			return errInvalidValue
		}
		*target(s) = value
		return nil
	}
}

// switchSetter returns a setter for "on" or "off".
func switchSetter(target func(*Settings) *bool) func(*Settings, json.RawMessage) error {
	return func(s *Settings, raw json.RawMessage) error {
		value, err := decode[string](raw)
		if err != nil {
			return err
		}
		if value != "on" && value != "off" {
			return errInvalidValue
		}
		*target(s) = value == "on"
		return nil
	}
}

func setUsageWindow(s *Settings, raw json.RawMessage) error {
	if err := durationSetter(func(s *Settings) *time.Duration { return &s.UsageWindow })(s, raw); err != nil {
		return err
	}
	if s.UsageWindow%time.Second != 0 {
		return errInvalidValue
	}
	return nil
}

func setLogLevel(s *Settings, raw json.RawMessage) error {
	name, err := decode[string](raw)
	if err != nil {
		return err
	}
	levels := map[string]zerolog.Level{
		"debug": zerolog.DebugLevel,
		"info":  zerolog.InfoLevel,
		"warn":  zerolog.WarnLevel,
		"error": zerolog.ErrorLevel,
	}
	level, known := levels[name]
	if !known {
		return errInvalidValue
	}
	s.LogLevel = level
	return nil
}

func setOperatorKeys(s *Settings, raw json.RawMessage) error {
	hashes, err := decode[[]string](raw)
	if err != nil {
		return err
	}
	for _, hash := range hashes {
		if !hashPattern.MatchString(hash) {
			return errInvalidValue
		}
	}
	s.OperatorKeyHashes = hashes
	return nil
}

// numberSetter returns a setter for a whole number from least to most.
func numberSetter(least, most int, target func(*Settings) *int) func(*Settings, json.RawMessage) error {
	return func(s *Settings, raw json.RawMessage) error {
		number, err := decode[int](raw)
		if err != nil {
			return err
		}
		if number < least || number > most {
			return errInvalidValue
		}
		*target(s) = number
		return nil
	}
}

func setProcessorCores(s *Settings, raw json.RawMessage) error {
	cores, err := decode[float64](raw)
	if err != nil {
		return err
	}
	if cores < 0.01 || cores > 1024 {
		return errInvalidValue
	}
	s.ProcessorCores = cores
	return nil
}

func validName(name string) bool { return namePattern.MatchString(name) }

func validSpeedPlacement(value string) bool {
	return value == SpeedPlacementOff || value == SpeedPlacementAuto
}

func notEmpty(value string) bool { return value != "" }

func validSecret(value string) bool { return len(value) >= minSecretLength }

func validURL(value string) bool {
	parsed, err := url.Parse(value)
	return err == nil && parsed.Host != "" && (parsed.Scheme == "http" || parsed.Scheme == "https")
}

func isReadable(path string) bool {
	file, err := os.Open(path)
	if err != nil {
		return false
	}
	return file.Close() == nil
}

func setRegions(s *Settings, raw json.RawMessage) error {
	regions, err := decode[map[string]string](raw)
	if err != nil {
		return err
	}
	for zone, region := range regions {
		if !validName(zone) || !validName(region) {
			return errInvalidValue
		}
	}
	s.Regions = regions
	return nil
}

func setSeeds(s *Settings, raw json.RawMessage) error {
	seeds, err := decode[[]netip.AddrPort](raw)
	if err != nil {
		return err
	}
	s.Seeds = seeds
	return nil
}
