package exchanger

import (
	"net"

	"quetzalgrade.example/quetzalgrade/internal/connector"
)

// reusable reports whether an idle connection is open and has no unread data. Unread data
// belongs to no request, and the end of the stream means that the endpoint has closed the
// connection. A connection that cannot be inspected counts as open: if it is closed, the read of
// the response fails.
func reusable(connection net.Conn) bool {
	pending := connector.Peek(connection)
	return pending == connector.PendingNothing || pending == connector.PendingUnknown
}
