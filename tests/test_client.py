"""Calls by `ashlatch.http.client`: what is said of a request that got no reply."""

import socket
import threading

import testtools

from ashlatch.errors import TransportError
from ashlatch.http.client import Call, fetch
from tests.system import HOST

ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


class KeptConnectionTest(testtools.TestCase):
    """An endpoint answers once, and ends when the next request is there.

    curl sends a request that may be repeated once more where a kept connection has
    died. Nobody listens then, so that its error was "could not connect", and the
    request counted as not sent, which callers are told as "not run".
    """

    def test_a_request_that_an_endpoint_read_before_it_ended(self) -> None:
        seen: list[bytes] = []
        with socket.socket() as listener:
            listener.bind((HOST, 0))
            listener.listen(1)
            url = f"http://{HOST}:{listener.getsockname()[1]}/"

            def serve() -> None:
                connection, _ = listener.accept()
                seen.append(connection.recv(65536))
                connection.sendall(ANSWER)
                seen.append(connection.recv(65536))
                listener.close()
                connection.close()

            serving = threading.Thread(target=serve)
            serving.start()
            self.assertEqual(200, fetch(Call(url)).status)
            error = self.assertRaises(TransportError, fetch, Call(url))
            serving.join()
        self.assertEqual(2, len(seen))
        self.assertTrue(error.sent)

    def test_a_request_for_which_nobody_listened(self) -> None:
        with socket.socket() as listener:
            listener.bind((HOST, 0))
            url = f"http://{HOST}:{listener.getsockname()[1]}/"
        error = self.assertRaises(TransportError, fetch, Call(url))
        self.assertFalse(error.sent)
