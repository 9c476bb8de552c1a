"""Tests of ashlatch.http.client: `sent` of requests without a reply."""

import socket
import threading

import testtools

from ashlatch.errors import TransportError
from ashlatch.http.client import Call, fetch
from tests.system import HOST

ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


class KeptConnectionTest(testtools.TestCase):
    """An endpoint answers one request and stops when it has received the next one.

    curl sends a repeatable request again if a kept connection breaks. The endpoint no
    longer listens then, so the error is "could not connect". The request counted as not
    sent because of that, and callers received "not run".
    """

    def test_a_request_that_the_endpoint_received_counts_as_sent(self) -> None:
        received: list[bytes] = []
        with socket.socket() as listener:
            listener.bind((HOST, 0))
            listener.listen(1)
            url = f"http://{HOST}:{listener.getsockname()[1]}/"

            def serve() -> None:
                connection, _ = listener.accept()
                received.append(connection.recv(65536))
                connection.sendall(ANSWER)
                received.append(connection.recv(65536))
                listener.close()
                connection.close()

            serving = threading.Thread(target=serve)
            serving.start()
            self.assertEqual(200, fetch(Call(url)).status)
            error = self.assertRaises(TransportError, fetch, Call(url))
            serving.join()
        self.assertEqual(2, len(received))
        self.assertTrue(error.sent)

    def test_a_refused_connection_counts_as_not_sent(self) -> None:
        with socket.socket() as listener:
            listener.bind((HOST, 0))
            url = f"http://{HOST}:{listener.getsockname()[1]}/"
        error = self.assertRaises(TransportError, fetch, Call(url))
        self.assertFalse(error.sent)
