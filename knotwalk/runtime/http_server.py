"""The one way to be called: a sanic app in this process, on plain asyncio, without a manager or a fork."""

import json
from typing import Any

from sanic import HTTPResponse, Request, Sanic
from sanic.exceptions import SanicException
from sanic.log import access_logger, error_logger, logger as sanic_logger

from knotwalk.runtime.compression import ENCODING, compress
from knotwalk.runtime.logs import log_exception

MAX_BODY_BYTES = 64 * 1024 * 1024


def make_app(name: str) -> Sanic:
    """A sanic app with nothing printed, no access log, and bodies bounded."""
    for log in (sanic_logger, error_logger, access_logger):
        log.setLevel("CRITICAL")
    made = Sanic(name, configure_logging=False)
    made.config.TOUCHUP = False  # two apps in one process: the second can't be touched up again
    made.config.MOTD = made.config.ACCESS_LOG = False
    made.config.REQUEST_MAX_SIZE = MAX_BODY_BYTES
    made.config.REQUEST_TIMEOUT = 10
    made.config.RESPONSE_TIMEOUT = 15
    made.config.KEEP_ALIVE_TIMEOUT = 20
    made.config.FALLBACK_ERROR_FORMAT = "text"
    made.exception(Exception)(handle_exception)
    made.register_middleware(echo_call_id, "response")
    return made


def echo_call_id(request: Request, response: HTTPResponse) -> None:
    """Repeat the id of the call in its answer, so that a caller never takes an answer for another call's."""
    call = request.headers.get("call-id")
    if call is not None and call.isdigit():
        response.headers["Call-Id"] = call


async def handle_exception(request: Request, error: Exception) -> HTTPResponse:
    """A handler raised: what sanic itself refuses keeps its status; anything else is a fault of ours, and logged."""
    if isinstance(error, SanicException):
        return json_response({"error": str(error)}, error.status_code)
    if isinstance(error, (ValueError, KeyError, TypeError)) and not request.body:
        return json_response({"error": "no body"}, 400)
    log_exception("call failed", path=request.path)
    return json_response({"error": f"{type(error).__name__}"}, 500)


class Listener:
    """A served app; `close` ends it."""

    def __init__(self, made: Sanic):
        self.app, self.server = made, None

    async def start(self, host: str, port: int) -> None:
        """Listen at an address and serve."""
        self.server = await self.app.create_server(
            host=host, port=port, return_asyncio_server=True, access_log=False, debug=False, backlog=512
        )
        await self.server.startup()
        await self.server.start_serving()

    async def close(self) -> None:
        """Stop listening and end the connections."""
        if self.server is not None:
            self.server.close()


def json_response(value: Any, status: int = 200, headers: dict[str, str] | None = None) -> HTTPResponse:
    """A JSON answer."""
    return HTTPResponse(json.dumps(value, separators=(",", ":")), status, headers, "application/json")


def compressed_response(request: Request, whole: HTTPResponse) -> HTTPResponse:
    """The same answer, its body packed if that is worth it and the caller takes it."""
    small = compress(whole.body, request.headers.get("accept-encoding", ""))
    if small is not None:
        whole.body = small
        whole.headers["Content-Encoding"] = ENCODING
    return whole


def json_body(request: Request) -> Any:
    """The JSON value of a request's body; ValueError if it has none."""
    return json.loads(request.body)
