package owner

// ErrNoAuthority is the error of an order that was not sent for lack of authority.
var ErrNoAuthority = errNoAuthority
