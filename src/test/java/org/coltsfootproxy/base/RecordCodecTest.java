package org.coltsfootproxy.base;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

import java.util.List;
import org.coltsfootproxy.message.CallMessage;
import org.coltsfootproxy.message.Header;
import org.coltsfootproxy.message.Message;
import org.testng.annotations.Test;

/** Tests {@link RecordCodec}. */
public final class RecordCodecTest {
    private final RecordCodec<Message> mCodec = RecordCodec.of(Message.class);

    @Test
    public void aRecordSurvivesEncodingAndDecoding() throws ProxyException {
        var head =
                new CallMessage.AnswerHead(
                        RequestId.of(-5, 7), 200, List.of(Header.of("Content-Type", "text/plain")));

        assertEquals(mCodec.decode(mCodec.encode(head)), head);
    }

    @Test
    public void idsInARecordSurviveEncodingAndDecoding() throws ProxyException {
        var state =
                new CallMessage.AgentState(
                        RequestId.of(1, 2),
                        Incarnation.of(Long.MIN_VALUE),
                        ServiceId.of("rota"),
                        true,
                        3,
                        4,
                        5);

        assertEquals(mCodec.decode(mCodec.encode(state)), state);
    }

    @Test
    public void anUnknownTypeIsRefusedAsMalformed() {
        assertThrows(ProxyException.class, () -> mCodec.decode(new byte[] {0x7f, 0x7f, 0}));
    }

    @Test
    public void aTruncatedRecordIsRefusedAsMalformed() {
        byte[] complete = mCodec.encode(new CallMessage.Received(RequestId.of(1, 2)));
        byte[] truncated = java.util.Arrays.copyOf(complete, complete.length - 1);

        assertThrows(ProxyException.class, () -> mCodec.decode(truncated));
    }
}
