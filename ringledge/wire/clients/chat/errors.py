"""Error responses in the format of the OpenAI API."""

from __future__ import annotations

import orjson

from ringledge.wire.http.errors import HttpError

ERROR_TYPES = {404: "not_found_error", 429: "rate_limit_error", 500: "server_error", 503: "overloaded_error",
               504: "timeout_error"}  # fmt: skip


def error_body(error: HttpError) -> bytes:
    """The body of an error response, with an OpenAI error object."""
    error_type = ERROR_TYPES.get(error.status, "invalid_request_error")
    details = {"message": error.reason, "type": error_type, "param": error.param, "code": error.code}
    return orjson.dumps({"error": details})
