package org.coltsfootproxy.work;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.coltsfootproxy.work.WorkFeatures.DeclaredSizes;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests of {@link WorkModel}. */
public final class WorkModelTest {
    private static final long SECOND = TimeUnit.SECONDS.toNanos(1);

    private WorkModel mModel;
    private Random mRandom;
    private long mNow;

    @BeforeMethod
    public void begin() {
        mModel = WorkModel.create(1_000);
        mRandom = new Random(7);
        mNow = 0;
    }

    private static WorkFeatures features(String organisation, String subject, int hint) {
        return new WorkFeatures(
                "chat", organisation, subject, new DeclaredSizes(500, 1_000, hint), 2_000);
    }

    private double mean(WorkFeatures features) {
        return mModel.estimate(features).meanMillis();
    }

    private void observe(WorkFeatures features, double millis, int times) {
        for (int i = 0; i < times; i++) {
            mNow += SECOND / 20;
            mModel.observed(features, millis * Math.exp(0.1 * mRandom.nextGaussian()), 1, mNow);
        }
    }

    private static void assertNear(double actual, double expected, double share) {
        assertTrue(Math.abs(actual / expected - 1) <= share, actual + " is not near " + expected);
    }

    /** Guards against equal estimates for calls whose declared sizes differ, before any sample. */
    @Test
    public void beforeAnyCallHasEndedTheDeclaredSizesDecide() {
        WorkEstimate few = mModel.estimate(features("a", "", 50));
        WorkEstimate many = mModel.estimate(features("a", "", 800));

        assertEquals(many.source(), WorkEstimate.Source.DECLARED);
        assertTrue(many.meanMillis() > 2 * few.meanMillis(), few + " " + many);
        assertTrue(many.highMillis() > many.meanMillis(), many.toString());
        assertEquals(many.memoryTokens(), 1_500);
    }

    /** Guards against a model that only knows the mean of a route. */
    @Test
    public void organisationsAndSubjectsOfOneRouteAreToldApart() {
        observe(features("a", "x", 0), 200, 60);
        observe(features("a", "y", 0), 900, 60);
        observe(features("b", "z", 0), 3_000, 60);

        assertNear(mean(features("a", "x", 0)), 200, 0.15);
        assertNear(mean(features("a", "y", 0)), 900, 0.15);
        assertNear(mean(features("b", "new", 0)), 3_000, 0.25);
        assertEquals(mModel.estimate(features("a", "x", 0)).source(), WorkEstimate.Source.SUBJECT);
    }

    /** Guards against an estimate that jumps to the first sample of a new subject. */
    @Test
    public void aSingleSampleOfASubjectCountsLessThanItsOrganisation() {
        observe(features("a", "x", 0), 200, 100);
        observe(features("a", "new", 0), 2_000, 1);

        assertTrue(mean(features("a", "new", 0)) < 800, "" + mean(features("a", "new", 0)));
    }

    /** Guards against trust in hints of a caller whose hints have been wrong. */
    @Test
    public void hintsCountAsMuchAsTheyHaveBeenWorth() {
        for (int i = 0; i < 200; i++) {
            int output = 20 + mRandom.nextInt(900);
            observe(features("exact", "", output), 4 + 2.7 * output, 1);
            observe(features("false", "", 20 + mRandom.nextInt(900)), 600, 1);
        }

        double ratio = mean(features("exact", "", 800)) / mean(features("exact", "", 100));
        assertNear(ratio, 8, 0.3);
        double falseRatio = mean(features("false", "", 800)) / mean(features("false", "", 100));
        assertTrue(falseRatio < 1.3, "" + falseRatio);
    }

    /** Guards against one absurd sample, such as of a host that was frozen, that moves the mean. */
    @Test
    public void outliersAreClipped() {
        observe(features("a", "x", 0), 300, 50);
        mModel.observed(features("a", "x", 0), 1e9, 1, mNow);
        mModel.observed(features("a", "x", 0), 1e-9, 1, mNow);

        assertNear(mean(features("a", "x", 0)), 300, 0.25);
    }

    /** Guards against one organisation that spoils the estimates of the others. */
    @Test
    public void anOrganisationWithMisleadingSamplesHardlyChangesTheOthers() {
        observe(features("a", "x", 0), 300, 100);
        observe(features("b", "x", 0), 320, 100);
        observe(features("c", "x", 0), 280, 100);
        observe(features("misleading", "x", 0), 30_000, 1_000);

        assertNear(mean(features("a", "x", 0)), 300, 0.15);
        assertTrue(mean(features("new", "x", 0)) < 3_000, "" + mean(features("new", "x", 0)));
    }

    /** Guards against an average over all time, which a changed service would never move. */
    @Test
    public void earlierSamplesLoseTheirWeight() {
        observe(features("a", "x", 0), 300, 500);
        mNow += 600 * SECOND;
        observe(features("a", "x", 0), 1_200, 60);

        assertNear(mean(features("a", "x", 0)), 1_200, 0.25);
    }

    /** Guards against samples of slow targets that make calls look larger than they are. */
    @Test
    public void timesAreThoseOfATargetOfUsualSpeed() {
        for (int i = 0; i < 60; i++) {
            mModel.observed(features("a", "x", 0), 1_000, 2.5, mNow += SECOND / 20);
        }

        assertNear(mean(features("a", "x", 0)), 400, 0.15);
    }

    /** Guards against memory that grows with the number of subjects that callers invent. */
    @Test
    public void theNumberOfRememberedSubjectsIsBounded() {
        mModel = WorkModel.create(50);
        for (int i = 0; i < 10_000; i++) {
            mModel.observed(features("a", "s" + i, 0), 300, 1, mNow++);
        }

        assertEquals(mModel.size(), 50);
        assertNear(mean(features("a", "s9999", 0)), 300, 0.15);
    }

    /** Guards against calls without declared sizes that claim no memory or an absurd one. */
    @Test
    public void withoutDeclaredSizesMemoryFollowsFromTheBody() {
        WorkFeatures plain = new WorkFeatures("r", "o", "", DeclaredSizes.NONE, 4_000);
        WorkFeatures large = new WorkFeatures("r", "o", "", DeclaredSizes.NONE, 4 << 20);

        assertEquals(mModel.estimate(plain).memoryTokens(), 1_000);
        assertEquals(mModel.estimate(large).memoryTokens(), 4_096);
        assertTrue(!mModel.estimate(plain).isBounded());
    }
}
