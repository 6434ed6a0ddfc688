"""An HTTP/1.1 client and server, based on h11 and curio."""

from cranecart.http._client import HttpConnection
from cranecart.http._event_buffer import EVENT_END, EventBuffer
from cranecart.http._limits import ServerLimits
from cranecart.http._messages import (
    Address,
    HeaderLines,
    Headers,
    Request,
    Response,
    ResponseHead,
    json_response,
)
from cranecart.http._partial import PartialRequests
from cranecart.http._pool import HttpConnectionPool, exchange
from cranecart.http._progress import AnswerReader, exchange_in_progress
from cranecart.http._request_memory import RequestMemory
from cranecart.http._responder import Responder
from cranecart.http._response_memory import (
    HeldResponse,
    ResponseLimits,
    ResponseMemory,
)
from cranecart.http._server import HttpServer
from cranecart.http._unread import TARGET_RECEIVE_BYTES

__all__ = (
    'EVENT_END',
    'TARGET_RECEIVE_BYTES',
    'Address',
    'AnswerReader',
    'EventBuffer',
    'HeaderLines',
    'Headers',
    'HeldResponse',
    'HttpConnection',
    'HttpConnectionPool',
    'HttpServer',
    'PartialRequests',
    'Request',
    'RequestMemory',
    'Responder',
    'Response',
    'ResponseHead',
    'ResponseLimits',
    'ResponseMemory',
    'ServerLimits',
    'exchange',
    'exchange_in_progress',
    'json_response',
)
