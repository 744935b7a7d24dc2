"""Spans of requests, exported to a collector by OTLP over HTTP.

Spans are queued and exported by a thread of OpenTelemetry, off the data path.
Without a collector in the settings no span is created.
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
    """Creates the spans of one process.

    Attributes:
        provider: Tracer provider, or None if tracing is off.
        tracer: Tracer of the provider, or None.
    """

    __slots__ = ('provider', 'tracer')

    def __init__(self, provider: TracerProvider | None = None) -> None:
        """Keeps a provider; without one no span is created."""
        self.provider = provider
        self.tracer: Tracer | None = None
        if provider is not None:
            self.tracer = provider.get_tracer('cowslipmill')

    @classmethod
    def from_settings(
        cls, program: str, process: str, settings: TraceSettings
    ) -> 'Traces':
        """Returns the tracing that the settings of a process configure.

        Args:
            program: Name of the program.
            process: Name of the process.
            settings: Collector address and share of requests to sample.
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
        """Creates a span that covers the `with` block.

        Args:
            name: Name of the span.
            kind: Server for a received request, client for a sent one.
            carrier: Headers that may hold the parent span; None for the
                current span as parent.
            attributes: Attributes to set at the start of the span.
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
        """Writes the current span as the parent into outgoing headers."""
        if self.tracer is not None:
            PROPAGATOR.inject(headers)

    def close(self) -> None:
        """Exports queued spans; blocks until that is done or times out."""
        if self.provider is not None:
            self.provider.shutdown()
