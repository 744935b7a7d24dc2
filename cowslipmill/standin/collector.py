"""A stand-in of the trace collector: OTLP over HTTP."""

from aiohttp.web import BaseRequest
from aiohttp.web import Response
from aiohttp.web import Server
from aiohttp.web import ServerRunner
from aiohttp.web import TCPSite
from google.protobuf.message import DecodeError
from mode import Service
from msgspec import json
from msgspec import Struct
from opentelemetry.proto.collector.trace.v1 import trace_service_pb2

from cowslipmill.runtime.address import split_address
from cowslipmill.runtime.program import ListenError
from cowslipmill.telemetry.traces import TRACES_PATH

ExportTraceServiceRequest = trace_service_pb2.ExportTraceServiceRequest

SPANS_PATH = '/standin/spans'


class CollectedSpan(Struct, frozen=True, kw_only=True):
    """One span, its identifiers in hexadecimal.

    Attributes:
        process: Name of the process that made it.
        name: Name of the hop.
        trace: Identifier of the trace.
        span: Identifier of the span.
        parent: Identifier of its parent; empty for a root.
        attributes: Text attributes.
    """

    process: str
    name: str
    trace: str
    span: str
    parent: str
    attributes: dict[str, str]


class StandinCollector(Service):
    """Takes in spans and shows them at `GET /standin/spans`.

    Attributes:
        spans: Every span that came.
    """

    def __init__(self, address: str) -> None:
        """Starts empty."""
        super().__init__()
        self.address = address
        self.spans: list[CollectedSpan] = []

    async def on_start(self) -> None:
        """Listens.

        Raises:
            CannotListen: If the address is taken.
        """
        self.runner = ServerRunner(
            Server(self.handle), access_log=None, shutdown_timeout=0.5
        )
        await self.runner.setup()
        host, port = split_address(self.address)
        try:
            await TCPSite(self.runner, host, port).start()
        except OSError as error:
            raise ListenError('collector', self.address, error) from error

    async def on_stop(self) -> None:
        """Stops listening."""
        await self.runner.cleanup()

    async def handle(self, request: BaseRequest) -> Response:
        """Answers one call."""
        if request.path == SPANS_PATH:
            return Response(body=json.encode(self.spans))
        if request.path != TRACES_PATH or request.method != 'POST':
            return Response(status=404)
        try:
            message = ExportTraceServiceRequest.FromString(
                await request.read()
            )
        except DecodeError as error:
            return Response(status=400, text=f'{error}\n')
        self.take(message)
        return Response(content_type='application/x-protobuf')

    def take(self, message: ExportTraceServiceRequest) -> None:
        """Takes in one export."""
        for group in message.resource_spans:
            process = next(
                attribute.value.string_value
                for attribute in group.resource.attributes
                if attribute.key == 'service.instance.id'
            )
            for scope in group.scope_spans:
                for span in scope.spans:
                    self.spans.append(
                        CollectedSpan(
                            process=process,
                            name=span.name,
                            trace=span.trace_id.hex(),
                            span=span.span_id.hex(),
                            parent=span.parent_span_id.hex(),
                            attributes={
                                attribute.key: attribute.value.string_value
                                for attribute in span.attributes
                            },
                        )
                    )
