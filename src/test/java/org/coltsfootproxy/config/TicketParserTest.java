package org.coltsfootproxy.config;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.nio.charset.StandardCharsets;
import java.util.Locale;
import org.coltsfootproxy.base.ErrorKind;
import org.coltsfootproxy.base.ProxyException;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests the parsing and validation of tickets. */
public final class TicketParserTest {
    private static final String DIGEST = "ab".repeat(32);

    private static final String COMPLETE_TICKET =
            """
            ticket: 12
            organisations:
              - {id: solway, ratePerSecond: 50, burst: 100}
              - {id: forth, ratePerSecond: 5.5, burst: 10, weight: 2}
            keys:
              - {id: solway-1, organisation: solway, digest: %s}
            services:
              - id: rota
                streaming: true
                concurrency: 8
                targets:
                  - {id: t2, dataCentre: forth, agent: a2, address: '10.1.2.4:7000'}
                  - {id: t1, dataCentre: solway, agent: a1, address: '[fd00::1]:7000'}
            routes:
              - {id: rota, pathPrefix: /rota, service: rota, repeatableMethods: [GET]}
            remove:
              keys: [old]
            """
                    .formatted(DIGEST);

    private static Ticket parse(String yaml) throws ProxyException {
        return TicketParser.parse(yaml.getBytes(StandardCharsets.UTF_8));
    }

    @Test
    public void aCompleteTicketIsParsed() throws ProxyException {
        Ticket ticket = parse(COMPLETE_TICKET);

        assertEquals(ticket.number(), 12);
        assertEquals(ticket.changes().count(), 6);
        assertEquals(ticket.services().get(0).targets().get(0).agent().value(), "a1");
    }

    @Test
    public void equivalentTextsHaveTheSameContentDigest() throws ProxyException {
        String other =
                COMPLETE_TICKET
                        .replace(DIGEST, DIGEST.toUpperCase(Locale.ROOT))
                        .replace("ratePerSecond: 50, burst: 100", "burst: 100.0, ratePerSecond: 50")
                        .replace("weight: 2", "weight: 2.0");

        assertEquals(parse(other), parse(COMPLETE_TICKET));
        assertEquals(ContentDigest.of(parse(other)), ContentDigest.of(parse(COMPLETE_TICKET)));
    }

    @Test
    public void aTicketSurvivesCommandEncoding() throws ProxyException {
        var command = new ConfigCommand.ApplyTicket(parse(COMPLETE_TICKET));

        assertEquals(ConfigCommand.CODEC.decode(command.encode()), command);
    }

    @DataProvider
    public Object[][] invalidTickets() {
        return new Object[][] {
            {"burst: 100}", "burst: 100, colour: red}", "organisations[0]: unknown name [colour]"},
            {"burst: 100}", "burst: 0.5}", "organisation 'solway': burst 0.5 is not from 1"},
            {"ratePerSecond: 50", "ratePerSecond: 1e999", "ratePerSecond Infinity is not from"},
            {"ratePerSecond: 50", "ratePerSecond: fast", "organisations[0].ratePerSecond: must be"},
            {"id: forth", "id: solway", "names organisation 'solway' twice"},
            {"id: forth", "id: 17", "organisations[1].id: must be text; put it in quotes"},
            {"id: forth", "id: 'a b'", "'a b' is not a valid name"},
            {"ticket: 12", "ticket: 0", "number 0 is not from 1"},
            {"ticket: 12", "ticket: 9007199254740993", "is not from 1 to 9007199254740991"},
            {"ticket: 12", "ticket: 12.5", "ticket: must be a whole number"},
            {"ticket: 12", "tickets: 12", "'ticket' is missing"},
            {"ticket: 12", "ticket: 12\nticket: 13", "not valid YAML"},
            {"10.1.2.4:7000", "host.example:7000", "address 'host.example:7000' of target 't2'"},
            {"10.1.2.4:7000", "10.1.2.4", "is no IP number with port"},
            {"agent: a2", "agent: a1", "has two targets of agent a1 twice"},
            {DIGEST, "abc", "digest is not SHA-256"},
            {"/rota", "/rota/../x", "pathPrefix '/rota/../x' is not a plain path"},
            {"[GET]", "[get]", "'get' is no HTTP method"},
            {"concurrency: 8", "concurrency: 3000000000", "3000000000 is out of range"},
            {"keys: [old]", "keys: [solway-1]", "names key 'solway-1' twice"},
            {"remove:", "remove: 5\nrest:", "remove: must be a mapping"},
            {"ticket: 12", "ticket: 12\n---\nticket: 12", "not valid YAML"},
        };
    }

    @Test(dataProvider = "invalidTickets")
    public void anInvalidValueIsReportedWithItsPath(
            String original, String invalid, String message) {
        assertTrue(COMPLETE_TICKET.contains(original), original);
        ProxyException e =
                expectThrows(
                        ProxyException.class,
                        () ->
                                parse(
                                        COMPLETE_TICKET.replaceFirst(
                                                java.util.regex.Pattern.quote(original), invalid)));

        assertEquals(e.kind(), ErrorKind.INVALID_TICKET);
        assertTrue(e.getMessage().contains(message), e.getMessage());
    }

    @Test
    public void emptyInputIsRefused() {
        assertEquals(
                expectThrows(ProxyException.class, () -> parse("")).kind(),
                ErrorKind.INVALID_TICKET);
        assertEquals(
                expectThrows(ProxyException.class, () -> parse("ticket: 1")).kind(),
                ErrorKind.INVALID_TICKET);
    }
}
