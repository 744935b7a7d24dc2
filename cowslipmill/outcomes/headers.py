"""Names of the headers used between callers, cowslipmill and servers."""

# From a caller, forwarded to the server: time left in whole milliseconds.
DEADLINE_HEADER = 'Cowslipmill-Deadline-Ms'
# From a caller: its name, for fairness between callers.
CALLER_HEADER = 'Cowslipmill-Caller'
# From a caller: identifies a non-idempotent request and its retries.
KEY_HEADER = 'Idempotency-Key'
# To a caller, in each response: an unused key for its next request.
NEXT_KEY_HEADER = 'Cowslipmill-Next-Key'
# From a server with status 503: it did not start the request.
NOT_STARTED_HEADER = 'Cowslipmill-Not-Started'
# From a server, in any response: it accepts no new requests.
LEAVING_HEADER = 'Cowslipmill-Leaving'
# From a server, in any response: its load in the text format of ORCA.
LOAD_HEADER = 'Endpoint-Load-Metrics'

# Headers that apply to a single connection and aren't forwarded.
HOP_BY_HOP = frozenset(
    (
        'connection',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    )
)
