"""Messages between nodes about retries that one lends another."""

import msgspec


class RetryLoanRequest(
    msgspec.Struct, tag='retry_loan_request', array_like=True
):
    """Request for up to ``amount`` retries of a service.

    ``requested_at`` is a time of the sender's clock, for the response.
    """

    sender: str
    address: str
    service: str
    amount: float
    requested_at: float


class RetryLoan(msgspec.Struct, tag='retry_loan', array_like=True):
    """Retries that the sender lends in response to a request."""

    sender: str
    service: str
    amount: float
    requested_at: float
