"""HTTP server for calls from peers and operators: a sanic app on plain asyncio, in this process, without forks."""

import json
from typing import Any

from sanic import HTTPResponse, Request, Sanic
from sanic.exceptions import SanicException
from sanic.log import access_logger, error_logger, logger as sanic_logger

from knotwalk.runtime.compression import ENCODING, compress
from knotwalk.runtime.logs import log_exception

MAX_BODY_BYTES = 64 * 1024 * 1024


def make_app(name: str) -> Sanic:
    """Create a sanic app that prints nothing, writes no access log, and bounds request bodies."""
    for logger in (sanic_logger, error_logger, access_logger):
        logger.setLevel("CRITICAL")
    app = Sanic(name, configure_logging=False)
    app.config.TOUCHUP = False  # with two apps in one process sanic fails to apply it to the second
    app.config.MOTD = app.config.ACCESS_LOG = False
    app.config.REQUEST_MAX_SIZE = MAX_BODY_BYTES
    app.config.REQUEST_TIMEOUT = 10
    app.config.RESPONSE_TIMEOUT = 15
    app.config.KEEP_ALIVE_TIMEOUT = 20
    app.config.FALLBACK_ERROR_FORMAT = "text"
    app.exception(Exception)(handle_exception)
    app.register_middleware(echo_call_id, "response")
    return app


def echo_call_id(request: Request, response: HTTPResponse) -> None:
    """Repeat the call's id in the response, so that a caller never takes a response for that to another call."""
    call_id = request.headers.get("call-id")
    if call_id is not None and call_id.isdigit():
        response.headers["Call-Id"] = call_id


async def handle_exception(request: Request, error: Exception) -> HTTPResponse:
    """Answer a request whose handler raised.

    Errors raised by sanic keep their status; anything else is an error of the program and logged."""
    if isinstance(error, SanicException):
        return json_response({"error": str(error)}, error.status_code)
    if isinstance(error, (ValueError, KeyError, TypeError)) and not request.body:
        return json_response({"error": "no body"}, 400)
    log_exception("request handler failed", path=request.path)
    return json_response({"error": f"{type(error).__name__}"}, 500)


class Listener:
    """An app with its listening socket; `close` stops it."""

    def __init__(self, app: Sanic):
        self.app, self.server = app, None

    async def start(self, host: str, port: int) -> None:
        """Start to serve at an address."""
        self.server = await self.app.create_server(
            host=host, port=port, return_asyncio_server=True, access_log=False, debug=False, backlog=512
        )
        await self.server.startup()
        await self.server.start_serving()

    async def close(self) -> None:
        """Stop listening and close all connections."""
        if self.server is not None:
            self.server.close()


def json_response(value: Any, status: int = 200, headers: dict[str, str] | None = None) -> HTTPResponse:
    """Create a JSON response."""
    return HTTPResponse(json.dumps(value, separators=(",", ":")), status, headers, "application/json")


def compressed_response(request: Request, response: HTTPResponse) -> HTTPResponse:
    """Compress a response's body if it is large enough and the caller accepts the encoding."""
    compressed = compress(response.body, request.headers.get("accept-encoding", ""))
    if compressed is not None:
        response.body = compressed
        response.headers["Content-Encoding"] = ENCODING
    return response


def json_body(request: Request) -> Any:
    """Decode the JSON body of a request; ValueError if it is not JSON."""
    return json.loads(request.body)
