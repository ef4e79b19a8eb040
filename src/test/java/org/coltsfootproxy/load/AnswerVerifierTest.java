package org.coltsfootproxy.load;

import static org.testng.Assert.assertEquals;

import java.nio.charset.StandardCharsets;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests {@link AnswerVerifier}. */
public final class AnswerVerifierTest {
    private static final String FIRST = "data: {\"id\":\"a\",\"index\":0}\n\n";
    private static final String SECOND = "data: {\"id\":\"a\",\"index\":1}\n\n";
    private static final String END = "data: [DONE]\n\n";

    @DataProvider
    public Object[][] answers() {
        return new Object[][] {
            {LoadScenario.Answer.STREAM, FIRST + SECOND + END, true},
            {LoadScenario.Answer.STREAM, FIRST + SECOND, false},
            {LoadScenario.Answer.STREAM, FIRST + END, false},
            {LoadScenario.Answer.STREAM, SECOND + FIRST + END, false},
            {LoadScenario.Answer.STREAM, FIRST + SECOND.replace("\"a\"", "\"b\"") + END, false},
            {LoadScenario.Answer.STREAM, "", false},
            {LoadScenario.Answer.WHOLE, "{\"id\":\"a\",\"text\":\"x y \"}", true},
            {LoadScenario.Answer.WHOLE, "{\"id\":\"a\",\"text\":\"x \"}", false},
            {LoadScenario.Answer.WHOLE, "{\"id\":\"b\",\"text\":\"x y \"}", false},
            {LoadScenario.Answer.RECORD, "{\"id\":\"a\"}", true},
            {LoadScenario.Answer.RECORD, "{\"id\":\"b\"}", false},
            {LoadScenario.Answer.RECORD, "not JSON", false},
        };
    }

    @Test(dataProvider = "answers")
    public void onlyTheCompleteAnswerToTheOwnRequestIsAccepted(
            LoadScenario.Answer kind, String body, boolean accepted) {
        LoadScenario.OnlineStream stream =
                new LoadScenario.OnlineStream("s", "", "/", kind, true, 1, 2, 1, List.of());
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        assertEquals(AnswerVerifier.findDefect(stream, "a", bytes).isEmpty(), accepted);
    }
}
