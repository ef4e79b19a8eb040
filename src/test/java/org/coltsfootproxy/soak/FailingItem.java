package org.coltsfootproxy.soak;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;

/** How a target answers an item that fails at each run. */
enum FailingItem {
    WHOLE {
        @Override
        boolean answer(Socket socket, InputStream in, Wire.Head head, SendLog.Send send)
                throws IOException {
            Wire.skipBody(in, head);
            write(socket, send, "Content-Length: 4\r\n\r\nfail");
            return true;
        }
    },
    CHUNKED {
        @Override
        boolean answer(Socket socket, InputStream in, Wire.Head head, SendLog.Send send)
                throws IOException {
            Wire.skipBody(in, head);
            write(socket, send, "Transfer-Encoding: chunked\r\n\r\n4\r\nfail\r\n0\r\n\r\n");
            return true;
        }
    },
    WITHOUT_LENGTH {
        @Override
        boolean answer(Socket socket, InputStream in, Wire.Head head, SendLog.Send send)
                throws IOException {
            Wire.skipBody(in, head);
            write(socket, send, "Connection: close\r\n\r\nfail");
            return false;
        }
    },
    EARLY_AND_KEPT {
        @Override
        boolean answer(Socket socket, InputStream in, Wire.Head head, SendLog.Send send)
                throws IOException {
            write(socket, send, "Content-Length: 4\r\n\r\nfail");
            Wire.skipBody(in, head);
            return true;
        }
    },
    /** The rest of the request is never read, so that the close resets the connection. */
    EARLY_AND_CLOSED {
        @Override
        boolean answer(Socket socket, InputStream in, Wire.Head head, SendLog.Send send)
                throws IOException {
            write(socket, send, "Connection: close\r\nContent-Length: 4\r\n\r\nfail");
            return false;
        }
    },
    EARLY_AND_RESET_LATER {
        @Override
        boolean answer(Socket socket, InputStream in, Wire.Head head, SendLog.Send send)
                throws IOException {
            write(socket, send, "Content-Length: 4\r\n\r\nfail");
            StandInTarget.sleep(PAUSE_MILLIS);
            socket.setSoLinger(true, 0);
            return false;
        }
    },
    IN_TWO_PARTS {
        @Override
        boolean answer(Socket socket, InputStream in, Wire.Head head, SendLog.Send send)
                throws IOException {
            Wire.skipBody(in, head);
            write(socket, send, "Content-Len");
            StandInTarget.sleep(PAUSE_MILLIS);
            socket.getOutputStream().write(Wire.ascii("gth: 4\r\n\r\nfail"));
            return true;
        }
    },
    CUT_IN_ITS_BODY {
        @Override
        boolean answer(Socket socket, InputStream in, Wire.Head head, SendLog.Send send)
                throws IOException {
            Wire.skipBody(in, head);
            write(socket, send, "Content-Length: 400\r\n\r\nfail");
            return false;
        }
    };

    private static final long PAUSE_MILLIS = 50;

    /** Answers a run; returns whether the connection stays open. */
    abstract boolean answer(Socket socket, InputStream in, Wire.Head head, SendLog.Send send)
            throws IOException;

    /** Returns whether an item is one of the fraction that fails at each run. */
    static boolean isFailing(String item, double fraction) {
        return Chance.of(item) < fraction;
    }

    /** Returns how an item's failures are answered. */
    static FailingItem of(String item) {
        return values()[Chance.index(item + "way", values().length)];
    }

    /** Returns whether an item can never be done; otherwise each run fails. */
    private static boolean isUnprocessable(String item) {
        return Chance.index(item + "status", 2) == 0;
    }

    private static void write(Socket socket, SendLog.Send send, String rest) throws IOException {
        send.mHasRun = true;
        send.mStatus = isUnprocessable(send.mRequest) ? 422 : 500;
        send.mEnd = of(send.mRequest).name();
        String head =
                "HTTP/1.1 "
                        + send.mStatus
                        + " Failed\r\nRequest-Id: "
                        + send.mRequest
                        + "\r\nServer-Stamp: stamp."
                        + send.mTarget
                        + "."
                        + send.mRequest
                        + "\r\n";
        socket.getOutputStream().write(Wire.ascii(head + rest));
        socket.getOutputStream().flush();
    }
}
