"""Answers that no caller may get as answers: their bytes, and whether the
connection is reset behind them."""
from http11 import format_message


def _status(echo, body):
    return format_message("HTTP/1.1 000 Broken", echo, body), False


def _folded_length(echo, body):
    head = "HTTP/1.1 200 OK\r\n" + "".join(
        f"{name}: {value}\r\n" for name, value in echo.items())
    head += f"X-A: a\r\n Content-Length: {len(body)}\r\n\r\n"
    return head.encode("latin-1") + body, True


def _blank_in_name(echo, body):
    return format_message("HTTP/1.1 200 OK", {**echo, "X Bad": "a"}, body), False


def _coding(echo, body):
    return format_message("HTTP/1.1 200 OK",
                          {"Transfer-Encoding": "gzip", **echo}, body), False


def _cut(echo, body):
    whole = format_message("HTTP/1.1 200 OK", echo, body)
    return whole[:-len(body) // 2], True


def _unframed_and_reset(echo, body):
    head = "HTTP/1.1 200 OK\r\n" + "".join(
        f"{name}: {value}\r\n" for name, value in echo.items())
    return (head + "\r\n").encode("latin-1") + body[:len(body) // 2], True


WAYS = (_status, _folded_length, _blank_in_name, _coding, _cut,
        _unframed_and_reset)
