package org.coltsfootproxy.direct;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.Random;
import org.testng.annotations.Test;

/** Contract of {@link EventReader}. */
public final class EventReaderTest {
    private static final String THREE =
            "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: é\ndata: f\n\n";

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private static String text(byte[] bytes) {
        return new String(bytes, StandardCharsets.UTF_8);
    }

    @Test
    public void eventsComeWholeHoweverTheyAreCut() {
        byte[] all = bytes(THREE);
        Random random = new Random(5);
        for (int round = 0; round < 500; round++) {
            EventReader reader = new EventReader();
            StringBuilder taken = new StringBuilder();
            int at = 0;
            while (at < all.length) {
                int end = Math.min(all.length, at + 1 + random.nextInt(7));
                String whole = text(reader.take(java.util.Arrays.copyOfRange(all, at, end)));
                assertTrue(whole.isEmpty() || whole.matches("(?s).*\n\r?\n"), whole);
                taken.append(whole);
                at = end;
            }
            assertEquals(taken.toString(), THREE);
            assertEquals(reader.lastId(), Optional.of("3"));
            assertFalse(reader.isInEvent());
        }
    }

    @Test
    public void anEventThatHasBegunIsDroppedWithItsTarget() {
        EventReader reader = new EventReader();
        assertEquals(text(reader.take(bytes("id: 1\ndata: a\n\nid: 2\nda"))), "id: 1\ndata: a\n\n");
        assertTrue(reader.isInEvent());
        reader.dropPartial();

        assertEquals(reader.lastId(), Optional.of("1"));
        assertEquals(text(reader.take(bytes("id: 2\ndata: b\n\n"))), "id: 2\ndata: b\n\n");
    }

    @Test
    public void theDataOfEventsIsJoinedByLineFeeds() {
        assertEquals(EventReader.data(bytes(THREE)), "a\nb\né\nf");
    }
}
