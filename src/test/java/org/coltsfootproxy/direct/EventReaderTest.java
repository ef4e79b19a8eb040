package org.coltsfootproxy.direct;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.Random;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of {@link EventReader}. */
public final class EventReaderTest {
    private static final String EVENTS =
            "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: é\ndata: f\n\n";

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private static String text(byte[] bytes) {
        return new String(bytes, StandardCharsets.UTF_8);
    }

    @Test
    public void onlyCompleteEventsAreReturnedHoweverTheBytesAreSplit() {
        byte[] all = bytes(EVENTS);
        Random random = new Random(5);
        for (int round = 0; round < 500; round++) {
            EventReader reader = new EventReader();
            StringBuilder received = new StringBuilder();
            int at = 0;
            while (at < all.length) {
                int end = Math.min(all.length, at + 1 + random.nextInt(7));
                String complete = text(reader.append(java.util.Arrays.copyOfRange(all, at, end)));
                assertTrue(complete.isEmpty() || complete.matches("(?s).*\n\r?\n"), complete);
                received.append(complete);
                at = end;
            }
            assertEquals(received.toString(), EVENTS);
            assertEquals(reader.lastId(), Optional.of("3"));
            assertFalse(reader.endsTooEarly(false));
        }
    }

    @Test
    public void aPartialEventIsDroppedWhenItsTargetIsLost() {
        EventReader reader = new EventReader();
        assertEquals(
                text(reader.append(bytes("id: 1\ndata: a\n\nid: 2\nda"))), "id: 1\ndata: a\n\n");
        assertTrue(reader.endsTooEarly(false));
        reader.beginStream();

        assertEquals(reader.lastId(), Optional.of("1"));
        assertEquals(text(reader.append(bytes("id: 2\ndata: b\n\n"))), "id: 2\ndata: b\n\n");
    }

    /** Guards against a stream that counts as complete where a target crashed as it went on. */
    @Test
    public void aCloseWithoutFurtherEventsIsTheEndOnlyIfAnotherTargetConfirmsIt() {
        EventReader reader = new EventReader();
        reader.append(bytes("id: 1\ndata: a\n\nid: 2\nda"));
        assertTrue(reader.endsTooEarly(true));
        reader.beginStream();
        assertTrue(reader.endsTooEarly(true), "no event after the first, not confirmed");
        reader.beginStream();
        reader.append(bytes("id: 2\ndata: b\n\nid: 3\nda"));
        assertTrue(reader.endsTooEarly(true));
        reader.beginStream();
        assertTrue(reader.endsTooEarly(true), "no event after the second, not confirmed");
        reader.beginStream();
        assertFalse(reader.endsTooEarly(true), "confirmed");
    }

    /** Guards against a stream that counts as complete although it had no event. */
    @Test(dataProvider = "comments")
    public void commentsAreNoEvents(String comment) {
        EventReader reader = new EventReader();
        reader.append(bytes(comment));
        assertFalse(reader.hasAdvanced());
        assertTrue(reader.endsTooEarly(false));
        assertTrue(reader.endsTooEarly(true));
        reader.append(bytes("id: 1\ndata: a\n\n"));
        assertTrue(reader.hasAdvanced());
        long advances = reader.advances();
        reader.append(bytes(comment));
        assertEquals(reader.advances(), advances);
        assertFalse(reader.endsTooEarly(false));
    }

    @DataProvider
    Object[][] comments() {
        return new Object[][] {{": still here\n\n"}, {":\r\n\r\n"}};
    }

    @Test
    public void anEndWithLengthOrLastChunkNeedsNoConfirmationOnceThereIsAnEvent() {
        EventReader reader = new EventReader();
        assertTrue(reader.endsTooEarly(false));
        reader.append(bytes("id: 1\ndata: a\n\nid: 2\nda"));
        reader.beginStream();
        assertFalse(reader.endsTooEarly(false));
    }

    @DataProvider
    Object[][] eventsThatDoNotFollow() {
        return new Object[][] {
            {"begins again", "id: 1\ndata: a\n\n", "event 1 came after event 2"},
            {"repeats", "id: 2\ndata: b\n\n", "event 2 came after event 2"},
            {"skips", "id: 4\ndata: d\n\n", "event 4 came after event 2"},
            {"goes back", "id: 3\ndata: c\n\nid: 2\ndata: b\n\n", "event 2 came after event 3"},
        };
    }

    /** Guards against events that come twice, or are missing, at the joint of two streams. */
    @Test(dataProvider = "eventsThatDoNotFollow")
    public void aResumedStreamThatDoesNotFollowIsAtFault(String how, String events, String fault) {
        EventReader reader = new EventReader();
        reader.append(bytes("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"));
        reader.beginStream();
        assertEquals(text(reader.append(bytes(events))), "", how);
        assertEquals(reader.fault(), Optional.of(fault));
        assertEquals(text(reader.append(bytes("id: 5\ndata: e\n\n"))), "", "after a fault");
        assertEquals(reader.lastId(), Optional.of("2"));
        reader.beginStream();
        assertEquals(text(reader.append(bytes("id: 3\ndata: c\n\n"))), "id: 3\ndata: c\n\n");
        assertEquals(reader.fault(), Optional.empty());
    }

    @Test
    public void idsThatAreNoNumbersAreNotChecked() {
        EventReader reader = new EventReader();
        reader.append(bytes("id: b\ndata: 1\n\nid: a\ndata: 2\n\n"));
        reader.beginStream();
        assertEquals(text(reader.append(bytes("id: 1\ndata: 3\n\n"))), "id: 1\ndata: 3\n\n");
        assertEquals(reader.fault(), Optional.empty());
    }

    @Test
    public void dataLinesAreJoinedByLineFeeds() {
        assertEquals(EventReader.data(bytes(EVENTS)), Optional.of("a\nb\né\nf"));
        assertEquals(EventReader.data(bytes("id: 4\ndata:\n\n")), Optional.of(""));
        assertEquals(EventReader.data(bytes(": still here\n\n")), Optional.empty());
    }

    @Test
    public void onlyFurtherEventsCountAsAdvances() {
        EventReader reader = new EventReader();
        reader.append(bytes("id: 1\ndata: a\n\n"));
        assertEquals(reader.advances(), 1);
        for (int n = 0; n < 10; n++) {
            reader.append(bytes(": still here\n\n"));
            reader.append(bytes("d"));
        }
        assertEquals(reader.advances(), 1);
        reader.append(bytes("ata: b\n\nid: 2\ndata: c\n\n"));
        assertEquals(reader.advances(), 2);
    }

    @Test
    public void anEventWithoutEndIsTooLongAfterItsLimit() {
        EventReader reader = new EventReader();
        byte[] block = new byte[64 << 10];
        java.util.Arrays.fill(block, (byte) 'x');
        for (int n = 0; n <= EventReader.MAX_EVENT_BYTES / block.length; n++) {
            assertEquals(reader.fault(), Optional.empty(), "after " + n + " blocks");
            reader.append(block);
        }
        assertTrue(reader.fault().isPresent());
    }

    @DataProvider
    Object[][] blocksWithoutEvents() {
        return new Object[][] {{"\n"}, {"\r\n"}, {": x\n\n"}, {":\n"}};
    }

    /** Guards against a target that keeps a stream open with bytes that are no events. */
    @Test(dataProvider = "blocksWithoutEvents")
    public void bytesThatAreNoEventsAreTooManyAfterTheLimitOfAnEvent(String block) {
        EventReader reader = new EventReader();
        reader.append(bytes("id: 1\ndata: a\n\n"));
        byte[] blocks = bytes(block.repeat((16 << 10) / block.length()));
        int read = 0;
        while (reader.fault().isEmpty() && read <= 2 * EventReader.MAX_EVENT_BYTES) {
            reader.append(blocks);
            read += blocks.length;
        }
        assertTrue(reader.fault().isPresent(), read + " bytes");
        reader.beginStream();
        assertEquals(reader.fault(), Optional.empty());
    }

    @Test
    public void commentsBetweenEventsNeverAddUpToAFault() {
        EventReader reader = new EventReader();
        byte[] comments = bytes(": x\n\n".repeat((128 << 10) / 5));
        for (int n = 1; n <= 40; n++) {
            reader.append(comments);
            reader.append(bytes("id: " + n + "\ndata: a\n\n"));
            assertEquals(reader.fault(), Optional.empty(), "at event " + n);
        }
    }
}
