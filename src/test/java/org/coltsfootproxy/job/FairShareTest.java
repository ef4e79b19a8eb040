package org.coltsfootproxy.job;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.coltsfootproxy.base.OrganisationId;
import org.testng.annotations.Test;

/** Contract of {@link FairShare}. */
public final class FairShareTest {
    private static final OrganisationId FORTH = OrganisationId.of("forth");
    private static final OrganisationId MINCH = OrganisationId.of("minch");
    private static final OrganisationId MORAY = OrganisationId.of("moray");

    private static Map<OrganisationId, Double> serve(
            FairShare share, List<OrganisationId> all, int lots, double lotSeconds) {
        Map<OrganisationId, Double> served = new TreeMap<>();
        for (int i = 0; i < lots; i++) {
            OrganisationId next =
                    all.stream().min(Comparator.comparingDouble(share::startTag)).orElseThrow();
            share.charge(next, lotSeconds, true);
            served.merge(next, lotSeconds, Double::sum);
        }
        return served;
    }

    @Test
    public void largeLotsAreServedByWeight() {
        FairShare share = FairShare.create(o -> o.equals(MORAY) ? 2 : 1);
        Map<OrganisationId, Double> served = serve(share, List.of(FORTH, MINCH, MORAY), 400, 64);

        assertEquals(served.get(FORTH), 6_400, 64);
        assertEquals(served.get(MINCH), 6_400, 64);
        assertEquals(served.get(MORAY), 12_800, 64);
    }

    @Test
    public void idleTimeEarnsNoCreditAndDeadlineWorkIsChargedToTheShare() {
        FairShare share = FairShare.create(o -> 1);
        serve(share, List.of(FORTH), 100, 1);
        Map<OrganisationId, Double> after = serve(share, List.of(FORTH, MINCH), 100, 1);
        assertEquals(after.get(MINCH), 50, 1);

        share.charge(MINCH, 30, false);
        assertTrue(share.aheadSeconds(MINCH) >= 29);
        assertEquals(serve(share, List.of(FORTH, MINCH), 130, 1).get(MINCH), 50, 1);
    }
}
