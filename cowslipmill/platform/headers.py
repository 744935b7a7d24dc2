"""Names of the HTTP headers that callers and servers use."""

REQUEST_ID = b'x-request-id'
# How long the sender of the request waits for the response, in milliseconds.
DEADLINE = b'x-deadline-ms'
# Present on each response that a server itself generated.
SIGNATURE = b'x-response-signature'
# Name of the intended server; any other server refuses to execute the request.
EXPECTED_SERVER = b'x-expect-instance'
SERVER_LOAD = b'x-server-load'
# How long the server stays cold, in milliseconds; in health responses.
WARM_UP = b'x-warmup-ms'
# Requests a second that the server accepts from all hosts together.
SERVER_LIMIT = b'server-limit'
# `1` if the server stops soon and wants no new requests.
STORE_ERA = b'store-era'
SERVER_LEAVING = b'server-leaving'
# Present if the server did not execute the request.
NOT_EXECUTED = b'x-not-executed'
RETRY_AFTER = b'retry-after'
SERVER_NAME = b'x-instance-id'
MISDIRECTED_STATUS = 421
