"""Names of the headers that callers and servers use."""

REQUEST_ID = b'x-request-id'
# Milliseconds that the sender will wait.
DEADLINE = b'x-deadline-ms'
# Present on every answer that a server itself made.
SIGNATURE = b'x-response-signature'
# Any other server than the named one refuses to run the request.
EXPECTED_SERVER = b'x-expect-instance'
SERVER_LOAD = b'x-server-load'
# The server states that it did not run the request.
NOT_EXECUTED = b'x-not-executed'
RETRY_AFTER = b'retry-after'
SERVER_NAME = b'x-instance-id'
MISDIRECTED_STATUS = 421
