package org.coltsfootproxy.soak;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import org.testng.annotations.Test;

/** Short runs of real processes; {@link SoakMain} plays longer ones. */
public final class RealProcessBudgetTest {
    private final List<String> mLines = Collections.synchronizedList(new ArrayList<>());

    private BudgetCheck play(SoakPlan plan) throws IOException {
        mLines.clear();
        return Soak.play(plan, mLines::add, 10).budget();
    }

    private String lines() {
        return String.join("\n", mLines);
    }

    /** Guards against requests that go from target to target while all of them are full. */
    @Test
    public void underOverloadNoRequestIsSentToMoreTargetsThanItsRouteAllows() throws IOException {
        BudgetCheck budget = play(SoakPlan.calm(1, 8).withLoad(2, 0));
        assertEquals(budget.sendsOverLimit().size(), 0, lines());
        assertFalse(budget.isBroken(), lines());
    }

    /** Guards against failures of items that are lost as their targets close early. */
    @Test
    public void aFailureThatIsAnsweredBeforeTheItemIsReadIsCounted() throws IOException {
        BudgetCheck budget = play(SoakPlan.calm(32, 12).withPoison(0.8, 150_000));
        assertEquals(budget.itemsRunAgain().size(), 0, lines());
        assertFalse(budget.isBroken(), lines());
    }

    /** Guards against requests and items that exceed their attempts while processes fail. */
    @Test
    public void withOverlappingFaultsNoAttemptsAreExceeded() throws IOException {
        BudgetCheck budget = play(SoakPlan.calm(21, 15).withPoison(0.2, 15_000).withFaults(4));
        assertEquals(budget.sendsOverLimit().size(), 0, lines());
        assertFalse(budget.isBroken(), lines());
    }
}
