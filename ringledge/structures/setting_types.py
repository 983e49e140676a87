"""Value types that the settings of several subsystems share."""

from __future__ import annotations

from typing import Annotated

from msgspec import Meta

Address = Annotated[str, Meta(pattern=r"^\S+:[0-9]{1,5}$")]
OptionalAddress = Annotated[str, Meta(pattern=r"^(\S+:[0-9]{1,5})?$")]
Count = Annotated[int, Meta(ge=1)]
Seconds = Annotated[float, Meta(gt=0)]
