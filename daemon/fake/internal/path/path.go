// Package path reads parameters from request paths for the fake services.
package path

import (
	"net/url"

	"github.com/labstack/echo/v4"
)

// Param returns a path parameter in its decoded form. Echo returns the encoded form
// if the path contains encoded separators.
func Param(c echo.Context, name string) string {
	raw := c.Param(name)
	if c.Request().URL.RawPath == "" {
		return raw
	}
	decoded, err := url.PathUnescape(raw)
	if err != nil {
		return raw
	}
	return decoded
}
