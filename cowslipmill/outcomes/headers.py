"""Header names that cowslipmill agrees with callers and servers."""

# From a caller, and on to a server: whole milliseconds left to answer.
DEADLINE_HEADER = 'Cowslipmill-Deadline-Ms'
# From a caller: who it is, for fairness between callers.
CALLER_HEADER = 'Cowslipmill-Caller'
# From a caller with a non-idempotent request: names it when sent again.
KEY_HEADER = 'Idempotency-Key'
# To a caller with each answer: a fresh key for its next request.
NEXT_KEY_HEADER = 'Cowslipmill-Next-Key'
# From a server with status 503: proof that it did not start the request.
NOT_STARTED_HEADER = 'Cowslipmill-Not-Started'
# From a server on any answer: it takes no new work any more.
LEAVING_HEADER = 'Cowslipmill-Leaving'
# From a server on any answer: its load (ORCA, text form).
LOAD_HEADER = 'Endpoint-Load-Metrics'

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
