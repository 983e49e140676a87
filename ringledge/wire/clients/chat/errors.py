"""Errors in the form that OpenAI clients know."""

from __future__ import annotations

import orjson

from ringledge.wire.http.errors import HttpError

TYPES = {404: "not_found_error", 429: "rate_limit_error", 500: "server_error", 503: "overloaded_error",
         504: "timeout_error"}  # fmt: skip


def error_body(error: HttpError) -> bytes:
    """An OpenAI error object."""
    kind = TYPES.get(error.status, "invalid_request_error")
    told = {"message": error.reason, "type": kind, "param": error.param, "code": error.code}
    return orjson.dumps({"error": told})
