"""What tokens say, as schemas, and why one is refused."""

from __future__ import annotations

from enum import Enum
from typing import Annotated, Literal

from pydantic import BaseModel, ConfigDict, Field

Name = Annotated[str, Field(min_length=1, max_length=200, pattern=r"^[^\x00-\x1f\x7f]+$")]
Slug = Annotated[str, Field(min_length=1, max_length=128, pattern=r"^[A-Za-z0-9][A-Za-z0-9._~-]*$")]


# A channel is a part of a front's sessions that can change its owner; its fence grows with each.
Channel = Annotated[str, Field(min_length=1, max_length=200, pattern=r"^[A-Za-z0-9._:/-]+$")]
Fence = Annotated[int, Field(ge=0, le=0x7FFFFFFFFFFFFFFF)]


class TokenFault(Enum):
    """Each reason for refusing a token; the value goes into logs and problem details."""

    MISSING = "no-token"
    TOO_LONG = "token-too-long"
    MALFORMED = "malformed"
    UNSIGNED = "unsigned"
    ALGORITHM = "algorithm-not-of-key"
    UNKNOWN_KEY = "unknown-key"
    SIGNATURE = "bad-signature"
    CLAIMS = "bad-claims"
    ISSUER = "wrong-issuer"
    AUDIENCE = "wrong-audience"
    EXPIRED = "expired"
    NOT_YET = "not-yet-valid"
    TITLE = "other-title"
    INACTIVE = "not-active"  # its issuer took it back


class TokenError(Exception):
    """A token is refused."""

    def __init__(self, fault: TokenFault, detail: str = "") -> None:
        super().__init__(f"{fault.value}: {detail}" if detail else fault.value)
        self.fault = fault
        self.detail = detail


class Claims(BaseModel):
    """Registered claims that all our tokens carry (RFC 7519, 4.1); times are seconds since the epoch."""

    model_config = ConfigDict(strict=True, frozen=True, extra="ignore")

    iss: Name
    aud: Name | list[Name]
    exp: int | float
    iat: int | float | None = None
    nbf: int | float | None = None


class SessionClaims(Claims):
    """A viewer's right to one session of one title: who, which, up to which rung (0 is the lowest)."""

    sub: Name
    jti: Slug
    title: Slug
    cls: Slug
    top: Annotated[int, Field(ge=0, le=63)]
    tenant: Name | None = None


class ServerClaims(SessionClaims):
    """The narrower token that a front mints for one box: this session there, and nothing else.

    `channel` and `fence` stand in the token of a set-up, if the front's sessions may change their owner.
    """

    front: Name
    attempt: Annotated[int, Field(ge=0, le=1000)]
    rung: Annotated[int, Field(ge=0, le=63)]
    use: Literal["session"] = "session"
    channel: Channel | None = None
    fence: Fence = 0


class ControlClaims(Claims):
    """What a front shows a box or the list to steer its own sessions."""

    front: Name
    use: Literal["control"]
