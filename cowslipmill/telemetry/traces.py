"""Spans of requests, sent to a collector by OTLP over HTTP.

Spans are queued and sent by a thread of the library, off the data path.
Without a collector in the settings nothing is made at all.
"""

from collections.abc import Iterator
from collections.abc import Mapping
from collections.abc import MutableMapping
from contextlib import contextmanager

from opentelemetry.exporter.otlp.proto.http import trace_exporter
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.resources import SERVICE_INSTANCE_ID
from opentelemetry.sdk.resources import SERVICE_NAME
from opentelemetry.sdk.trace import TracerProvider
from opentelemetry.sdk.trace.export import BatchSpanProcessor
from opentelemetry.sdk.trace.sampling import ParentBased
from opentelemetry.sdk.trace.sampling import TraceIdRatioBased
from opentelemetry.trace import INVALID_SPAN
from opentelemetry.trace import Span
from opentelemetry.trace import SpanKind
from opentelemetry.trace import Tracer
from opentelemetry.trace.propagation import tracecontext

from cowslipmill.settings.settings import TraceSettings

TRACES_PATH = '/v1/traces'
EXPORT_TIMEOUT_S = 1.0
EXPORT_INTERVAL_MS = 500
MAX_QUEUED_SPANS = 4_096

PROPAGATOR = tracecontext.TraceContextTextMapPropagator()


class Traces:
    """Makes the spans of one process.

    Attributes:
        provider: The library's provider, or None if nothing is traced.
        tracer: Its tracer.
    """

    __slots__ = ('provider', 'tracer')

    def __init__(self, provider: TracerProvider | None = None) -> None:
        """Takes a provider; without one no span is made."""
        self.provider = provider
        self.tracer: Tracer | None = None
        if provider is not None:
            self.tracer = provider.get_tracer('cowslipmill')

    @classmethod
    def from_settings(
        cls, program: str, process: str, settings: TraceSettings
    ) -> 'Traces':
        """Returns what the settings of a process ask for.

        Args:
            program: Name of the program.
            process: Name of the process.
            settings: Collector and share of requests.
        """
        if settings.collector is None:
            return cls()
        provider = TracerProvider(
            sampler=ParentBased(TraceIdRatioBased(settings.sampled_share)),
            resource=Resource(
                {SERVICE_NAME: program, SERVICE_INSTANCE_ID: process}
            ),
        )
        exporter = trace_exporter.OTLPSpanExporter(
            endpoint=settings.collector + TRACES_PATH,
            timeout=EXPORT_TIMEOUT_S,
        )
        processor = BatchSpanProcessor(
            exporter,
            max_queue_size=MAX_QUEUED_SPANS,
            schedule_delay_millis=EXPORT_INTERVAL_MS,
        )
        provider.add_span_processor(processor)
        return cls(provider)

    @contextmanager
    def span(
        self,
        name: str,
        kind: SpanKind,
        *,
        carrier: Mapping[str, str] | None = None,
        attributes: Mapping[str, str] | None = None,
    ) -> Iterator[Span]:
        """Makes a span of what happens inside the `with` block.

        Args:
            name: Name of the hop.
            kind: Server for what came in, client for what goes out.
            carrier: Headers that may name the parent; else it is the span
                around this one.
            attributes: Attributes known at the start.
        """
        if self.tracer is None:
            yield INVALID_SPAN
            return
        context = None if carrier is None else PROPAGATOR.extract(carrier)
        with self.tracer.start_as_current_span(
            name, context=context, kind=kind, attributes=dict(attributes or {})
        ) as span:
            yield span

    def inject(self, headers: MutableMapping[str, str]) -> None:
        """Names the present span as the parent in outgoing headers."""
        if self.tracer is not None:
            PROPAGATOR.inject(headers)

    def close(self) -> None:
        """Sends what is queued; blocks until sent or timed out."""
        if self.provider is not None:
            self.provider.shutdown()
