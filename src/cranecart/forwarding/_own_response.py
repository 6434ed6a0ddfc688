"""Find the response that belongs to a request on a connection."""

import attrs

from cranecart.forwarding._call import RoutedCall
from cranecart.http import HttpConnection, ResponseHead
from cranecart.ports import CallTranslator


@attrs.define
class OwnResponseReader:
    """Reads the head of a request's own response, discarding any others.

    A target may send a second response to an earlier request, and that may
    carry no request id. Only a response with this request's id is accepted.
    Without this check, such a response was forwarded to the next request's
    client.
    """

    _form: CallTranslator
    _call: RoutedCall
    _connection: HttpConnection
    _has_foreign_response: bool = attrs.field(default=False, init=False)

    async def read(self) -> ResponseHead:
        """Return the head; may be called again after an interruption."""
        while True:
            if self._has_foreign_response:
                await self._connection.discard_response()
                self._has_foreign_response = False
            head = await self._connection.read_head()
            answered_id = self._form.read_response(head).request_id
            if answered_id == self._call.request_id:
                return head
            self._has_foreign_response = True
            self._log_foreign_response(head, answered_id)

    def _log_foreign_response(
        self, head: ResponseHead, answered_id: str
    ) -> None:
        self._call.trace.is_notable = True
        self._call.trace.add(
            'foreign_answer',
            target=str(self._connection.address),
            status=head.status,
            named=answered_id,
            carried=self._connection.earlier_requests,
            left_over=self._connection.surplus_bytes,
        )
