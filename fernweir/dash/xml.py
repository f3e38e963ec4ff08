"""A reader and writer for the subset of XML 1.0 that an MPD needs: elements, attributes and text.

Comments are skipped. Document types, entities other than the five predefined ones and character references,
and processing instructions are rejected, because an MPD doesn't need them and they are a means of attack.
Names keep their prefixes as written and unknown elements are preserved, so the content of a
document survives reading and writing it.
"""

from __future__ import annotations

import re
from collections.abc import Iterator
from dataclasses import dataclass, field

_NAME = r"[A-Za-z_:][A-Za-z0-9_.:-]*"
_MARKUP = re.compile(
    rf"<(?:(?P<close>/(?P<cname>{_NAME})\s*>)"
    rf"|(?P<comment>!--(?P<ctext>(?:[^-]|-(?!-))*)-->)"
    r"|(?P<cdata>!\[CDATA\[(?P<dtext>.*?)\]\]>)"
    rf"|(?P<name>{_NAME})(?P<attrs>(?:[^<>\"']|\"[^\"<]*\"|'[^'<]*')*?)(?P<empty>/)?>)",
    re.DOTALL,
)
_ATTR = re.compile(rf"\s+({_NAME})\s*=\s*(?:\"([^\"]*)\"|'([^']*)')", re.DOTALL)
_REFERENCE = re.compile(r"&(?:#(\d{1,7})|#x([0-9A-Fa-f]{1,6})|(\w+));|&")
_DECLARATION = re.compile(r"<\?xml\s[^?<>]*\?>")
_FORBIDDEN = re.compile("[\x00-\x08\x0b\x0c\x0e-\x1f\ufffe\uffff]")
_PREDEFINED = {"lt": "<", "gt": ">", "amp": "&", "quot": '"', "apos": "'"}


class XmlError(ValueError):
    """Raised for text outside the supported subset of XML; the message names the position."""


@dataclass(slots=True)
class Element:
    """An element; `text` is the character data before the first child, `tail` that after the element."""

    name: str
    attrs: dict[str, str] = field(default_factory=dict)
    children: list[Element] = field(default_factory=list)
    text: str = ""
    tail: str = ""

    @property
    def local(self) -> str:
        """The name without its prefix."""
        return self.name.rpartition(":")[2]

    def all(self, local: str) -> Iterator[Element]:
        return (child for child in self.children if child.local == local)

    def first(self, local: str) -> Element | None:
        return next(self.all(local), None)


def read_xml(
    data: bytes, *, max_bytes: int = 4_194_304, max_depth: int = 64, max_elements: int = 100_000
) -> Element:
    """Parses a UTF-8 document and returns its root element.

    Raises XmlError if the document is malformed or exceeds a limit.
    """
    if len(data) > max_bytes:
        raise XmlError("document too large")
    try:
        text = data.decode("utf-8-sig")
    except UnicodeDecodeError as error:
        raise XmlError(f"not UTF-8 at byte {error.start}") from None
    if forbidden := _FORBIDDEN.search(text):
        raise XmlError(f"forbidden character at {forbidden.start()}")
    text = text.replace("\r\n", "\n").replace("\r", "\n")
    declaration = _DECLARATION.match(text)
    position = declaration.end() if declaration else 0
    root: Element | None = None
    stack: list[Element] = []
    last: Element | None = None  # the element whose tail is being read
    element_count = 0
    while True:
        start = text.find("<", position)
        character_data = text[position : start if start >= 0 else len(text)]
        if character_data:
            _add_text(stack, last, _unescape(character_data, position), position)
        if start < 0:
            break
        match = _MARKUP.match(text, start)
        if match is None:
            raise XmlError(f"{_describe_markup(text, start)} at {start}")
        position = match.end()
        if match["name"]:
            element_count += 1
            if element_count > max_elements or len(stack) >= max_depth:
                raise XmlError(f"too many or too deep elements at {start}")
            element = Element(match["name"], _attributes(match["attrs"], start))
            if stack:
                stack[-1].children.append(element)
            elif root is not None:
                raise XmlError(f"second root element at {start}")
            else:
                root = element
            last = element if match["empty"] else None
            if not match["empty"]:
                stack.append(element)
        elif match["close"]:
            if not stack or stack[-1].name != match["cname"]:
                raise XmlError(f"unmatched end tag {match['cname']} at {start}")
            last = stack.pop()
        elif match["cdata"]:
            _add_text(stack, last, match["dtext"], start)
    if stack:
        raise XmlError(f"document ends inside {stack[-1].name}")
    if root is None:
        raise XmlError("no root element")
    return root


def _describe_markup(text: str, start: int) -> str:
    head = text[start : start + 9]
    if head.startswith("<!DOCTYPE") or head.startswith("<!ENTITY"):
        return "document type or entity declaration refused"
    return "processing instruction refused" if head.startswith("<?") else "malformed markup"


def _add_text(stack: list[Element], last: Element | None, text: str, position: int) -> None:
    if not stack:
        if text.strip(" \t\n"):
            raise XmlError(f"text outside the root element at {position}")
    elif last is not None and last is not stack[-1]:
        last.tail += text
    else:
        stack[-1].text += text


def _attributes(text: str, start: int) -> dict[str, str]:
    attrs: dict[str, str] = {}
    position = 0
    while match := _ATTR.match(text, position):
        name, value = match[1], match[2] if match[2] is not None else match[3]
        if name in attrs:
            raise XmlError(f"repeated attribute {name} at {start}")
        attrs[name] = _unescape(value.replace("\n", " ").replace("\t", " "), start)
        position = match.end()
    if text[position:].strip(" \t\n"):
        raise XmlError(f"malformed attribute at {start}")
    return attrs


def _unescape(text: str, start: int) -> str:
    if "&" not in text:
        return text

    def replace(match: re.Match[str]) -> str:
        if match[3] in _PREDEFINED:
            return _PREDEFINED[match[3]]
        code = int(match[1]) if match[1] else int(match[2], 16) if match[2] else -1
        valid = (
            code in (9, 10, 13)
            or 32 <= code < 0xD800
            or 0xE000 <= code < 0xFFFE
            or 0x10000 <= code <= 0x10FFFF
        )
        if not valid:
            raise XmlError(f"unknown entity or character reference at {start}")
        return chr(code)

    return _REFERENCE.sub(replace, text)


def _escape(text: str) -> str:
    return text.replace("&", "&amp;").replace("<", "&lt;").replace(">", "&gt;").replace("\r", "&#13;")


def escape_attr(text: str) -> str:
    return _escape(text).replace('"', "&quot;").replace("\n", "&#10;").replace("\t", "&#9;")


def write_xml(root: Element) -> bytes:
    """Returns the document in UTF-8 with an XML declaration."""
    out = ['<?xml version="1.0" encoding="UTF-8"?>\n']
    _write(root, out)
    return "".join(out).encode()


def _write(element: Element, out: list[str]) -> None:
    out.append(f"<{element.name}")
    for name, value in element.attrs.items():
        out.append(f' {name}="{escape_attr(value)}"')
    if element.text or element.children:
        out.append(f">{_escape(element.text)}")
        for child in element.children:
            _write(child, out)
        out.append(f"</{element.name}>{_escape(element.tail)}")
    else:
        out.append(f"/>{_escape(element.tail)}")
