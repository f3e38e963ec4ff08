"""Defines the schemas of token claims and the reasons for rejecting a token."""

from __future__ import annotations

from enum import Enum
from typing import Annotated, Literal

from pydantic import BaseModel, ConfigDict, Field

Name = Annotated[str, Field(min_length=1, max_length=200, pattern=r"^[^\x00-\x1f\x7f]+$")]
Slug = Annotated[str, Field(min_length=1, max_length=128, pattern=r"^[A-Za-z0-9][A-Za-z0-9._~-]*$")]

# A channel is a group of a front's sessions that can move to another owner, which increases its fence.
Channel = Annotated[str, Field(min_length=1, max_length=200, pattern=r"^[A-Za-z0-9._:/-]+$")]
Fence = Annotated[int, Field(ge=0, le=0x7FFFFFFFFFFFFFFF)]


class TokenFault(Enum):
    """The reasons for rejecting a token; the values appear in logs and problem details."""

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
    INACTIVE = "not-active"  # revoked by its issuer (RFC 7662)


class TokenError(Exception):
    """Raised when a token is rejected.

    Attributes:
        fault: The reason.
        detail: The claims, names or algorithms concerned; empty if the reason is sufficient.
    """

    def __init__(self, fault: TokenFault, detail: str = "") -> None:
        super().__init__(f"{fault.value}: {detail}" if detail else fault.value)
        self.fault = fault
        self.detail = detail


class Claims(BaseModel):
    """Registered claims of every token (RFC 7519, section 4.1); times are seconds since the epoch."""

    model_config = ConfigDict(strict=True, frozen=True, extra="ignore")

    iss: Name
    aud: Name | list[Name]
    exp: int | float
    iat: int | float | None = None
    nbf: int | float | None = None


class SessionClaims(Claims):
    """Claims of a viewer's token, which entitles the viewer to one session of one title.

    `sub` is the viewer, `jti` the session, `cls` its class, and `top` the highest rung that the session may
    use; 0 is the lowest rung.
    """

    sub: Name
    jti: Slug
    title: Slug
    cls: Slug
    top: Annotated[int, Field(ge=0, le=63)]
    tenant: Name | None = None


class ServerClaims(SessionClaims):
    """Claims of a token that a front issues for one session at one server.

    `channel` and `fence` are present in the token of a set-up if the front's sessions may change owners.
    """

    front: Name
    attempt: Annotated[int, Field(ge=0, le=1000)]
    rung: Annotated[int, Field(ge=0, le=63)]
    use: Literal["session"] = "session"
    channel: Channel | None = None
    fence: Fence = 0


class ControlClaims(Claims):
    """Claims of a token with which a front controls its own sessions at a server or at the endpoint list."""

    front: Name
    use: Literal["control"]
