package org.coltsfootproxy.base;

import static org.testng.Assert.assertEquals;

import java.util.Random;
import org.testng.annotations.Test;

/** Tests {@link Names}. */
public final class NamesTest {
    private static final String CHARACTERS = "azAZ09._:@-/ \u00e9\n";

    /** Guards against a check that accepts other characters, such as a slash or a line break. */
    @Test
    public void namesHaveOnlyLettersDigitsAndFiveOtherCharacters() {
        var random = new Random(1);
        for (int round = 0; round < 20_000; round++) {
            StringBuilder name = new StringBuilder();
            for (int length = random.nextInt(6); length > 0; length--) {
                name.append(CHARACTERS.charAt(random.nextInt(CHARACTERS.length())));
            }
            boolean isValid = name.toString().matches("[A-Za-z0-9][A-Za-z0-9._:@-]*");
            assertEquals(Names.isValid(name.toString()), isValid, "'" + name + "'");
        }
        assertEquals(Names.isValid("a".repeat(Names.MAX_LENGTH)), true);
        assertEquals(Names.isValid("a".repeat(Names.MAX_LENGTH + 1)), false);
    }
}
