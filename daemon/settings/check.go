package settings

import (
	"net/netip"
	"net/url"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// validate checks the key's value in s against the rule in its `check` tag.
func (k Key) validate(s *Settings) error {
	field := reflect.ValueOf(s).Elem().FieldByIndex(k.fieldIndex)
	rule := k.rule
	if rest, ok := strings.CutPrefix(rule, "optional"); ok {
		if field.IsZero() {
			return nil
		}
		rule = strings.TrimSpace(rest)
	}
	name, argument, _ := strings.Cut(rule, " ")
	switch name {
	case "required":
		return checkRequired(field.String())
	case "one":
		allowed := strings.Fields(strings.TrimPrefix(argument, "of "))
		return checkOneOf(field.String(), allowed)
	case "url":
		return checkURL(field.String())
	case "address":
		return checkAddress(field.String())
	case "min":
		return checkMin(field, argument)
	}
	return nil
}

func checkRequired(value string) error {
	if value == "" {
		return errors.New("a value is required")
	}
	return nil
}

func checkOneOf(value string, allowed []string) error {
	if !slices.Contains(allowed, value) {
		return errors.Errorf("%q is not one of %s", value, strings.Join(allowed, ", "))
	}
	return nil
}

func checkURL(value string) error {
	u, err := url.Parse(value)
	if err != nil || u.Scheme != "http" && u.Scheme != "https" {
		return errors.Errorf("%q is not an http or https URL", value)
	}
	if _, err := netip.ParseAddrPort(u.Host); err != nil {
		return errors.Errorf("%q: the host must be an IP address and a port", value)
	}
	return nil
}

func checkAddress(value string) error {
	if _, err := netip.ParseAddrPort(value); err != nil {
		return errors.Errorf("%q is not an IP address and port", value)
	}
	return nil
}

// checkMin compares a duration or number with the minimum in text.
func checkMin(field reflect.Value, text string) error {
	if field.Type() == reflect.TypeFor[time.Duration]() {
		minimum, err := time.ParseDuration(text)
		if err == nil && time.Duration(field.Int()) < minimum {
			return errors.Errorf("%v is below the minimum %v", time.Duration(field.Int()), minimum)
		}
		return err
	}
	if field.Kind() == reflect.Float64 {
		minimum, err := strconv.ParseFloat(text, 64)
		if err == nil && field.Float() < minimum {
			return errors.Errorf("%g is below the minimum %g", field.Float(), minimum)
		}
		return err
	}
	minimum, err := strconv.ParseInt(text, 10, 64)
	if err == nil && field.Int() < minimum {
		return errors.Errorf("%d is below the minimum %d", field.Int(), minimum)
	}
	return err
}

// validateCombinations checks the rules that depend on several keys or on the role.
// It returns a message for each key that breaks one.
func validateCombinations(s *Settings, role Role) map[string]string {
	messages := map[string]string{}
	if s.Entry.MaxDeadline < s.Entry.DefaultDeadline {
		messages["entry.max_deadline"] = "is below entry.default_deadline"
	}
	if role == RoleEntry && s.Addresses.Caller == "" {
		messages["addresses.caller"] = "a value is required for an entry"
	}
	if role == RoleAgent && s.Agent.Pool == "" {
		messages["agent.pool"] = "a value is required for an agent"
	}
	if role == RoleAgent && s.Agent.EndpointURL == "" {
		messages["agent.endpoint_url"] = "a value is required for an agent"
	}
	return messages
}
