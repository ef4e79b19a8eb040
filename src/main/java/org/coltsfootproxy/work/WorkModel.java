package org.coltsfootproxy.work;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.coltsfootproxy.work.DecayedMoments.Moments;
import org.coltsfootproxy.work.WorkFeatures.DeclaredSizes;

/**
 * Learns how long calls hold a slot of a target of usual speed.
 *
 * <p>Three predictors compete: the same time for all calls, the declared sizes, and the caller's
 * hint. For each, the logarithm of the ratio of the measured to the predicted time is learned by
 * route, by organisation and by subject, each level shrunk towards the coarser one. The prediction
 * is their mean, weighted by the inverse squares of their variances, so that a predictor whose
 * errors are twice as large has a sixteenth of the weight. So hints of an organisation count as
 * much as they have been worth.
 */
public final class WorkModel {
    /** Time that the engine takes for a prompt token, by the platform's description of engines. */
    private static final double PROMPT_TOKEN_MILLIS = 1 / 123.0;

    /** Time that the engine takes for an output token at half load, by the same description. */
    private static final double OUTPUT_TOKEN_MILLIS = 2.7;

    /** Share of the most output that a call is assumed to produce before any has ended. */
    private static final double OUTPUT_SHARE = 0.4;

    /** Time of a call that declares no sizes, before any has ended. */
    private static final double UNDECLARED_MILLIS = 100;

    /** Bytes of a body for each token, for a caller that declares no sizes. */
    private static final int BYTES_PER_TOKEN = 4;

    /** Most tokens that are assumed for a caller that declares no sizes. */
    private static final int MAX_UNDECLARED_TOKENS = 4_096;

    /** Time in which a sample loses half of its weight: some tens of waves of traffic. */
    private static final double HALF_LIFE_NANOS = TimeUnit.MINUTES.toNanos(2);

    /** Number of samples as which the coarser level counts. */
    private static final double PRIOR_SAMPLES = 4;

    /**
     * Most weight that the samples of one organisation have in its route, so that a large or
     * misleading one does not decide what is expected of the others.
     */
    private static final double MAX_ORGANISATION_WEIGHT = 32;

    /**
     * Largest variance of the logarithm that raises the mean above the median. The mean of a wider
     * distribution depends on its few largest samples, which may be false.
     */
    private static final double MAX_MEAN_VARIANCE = 1;

    /** 90% of a normal distribution lie below this many standard deviations above its mean. */
    private static final double HIGH_DEVIATIONS = 1.28;

    /** Smallest variance of a predictor; keeps one that was right by chance from deciding alone. */
    private static final double MIN_VARIANCE = 0.01;

    private static final double MAX_MILLIS = TimeUnit.MINUTES.toMillis(10);
    private static final int LEVELS = 3;
    private static final int PREDICTORS = 3;
    private static final int HINT = 2;

    /** Moments before any call has ended: the same for all, the declared sizes, the hint. */
    private static final Moments[] INITIAL = {
        new Moments(0, 4), new Moments(0, 1), new Moments(0, 0.5)
    };

    private final LinkedHashMap<Key, Level> mLevels;

    /** Names of one level; empty where the level is coarser. */
    private record Key(String route, String organisation, String subject) {}

    /** The samples of one level. */
    private static final class Level {
        private final DecayedMoments[] mRatios = new DecayedMoments[PREDICTORS];
        private double mWeight;
        private long mUpdatedAt;

        Level(long nowNanos) {
            for (int i = 0; i < PREDICTORS; i++) {
                mRatios[i] = new DecayedMoments();
            }
            mUpdatedAt = nowNanos;
        }

        void decay(long nowNanos) {
            double factor = Math.pow(0.5, Math.max(0, nowNanos - mUpdatedAt) / HALF_LIFE_NANOS);
            mUpdatedAt = nowNanos;
            mWeight *= factor;
            for (DecayedMoments ratio : mRatios) {
                ratio.decay(factor);
            }
        }
    }

    private WorkModel(int maxLevels) {
        checkArgument(maxLevels >= LEVELS, "maxLevels %s is below %s", maxLevels, LEVELS);
        mLevels =
                new LinkedHashMap<>(64, 0.75f, true) {
                    @Override
                    protected boolean removeEldestEntry(Map.Entry<Key, Level> eldest) {
                        return size() > maxLevels;
                    }
                };
    }

    /**
     * Returns a model without samples.
     *
     * @param maxLevels number of routes, organisations and subjects that are remembered; the one
     *     that was unused for the longest time is forgotten
     */
    public static WorkModel create(int maxLevels) {
        return new WorkModel(maxLevels);
    }

    /** Returns the expected cost of a call. */
    public WorkEstimate estimate(WorkFeatures features) {
        Moments[] ratios = INITIAL;
        WorkEstimate.Source source = WorkEstimate.Source.DECLARED;
        double samples = 0;
        for (int depth = 0; depth < LEVELS; depth++) {
            Level level = mLevels.get(key(features, depth));
            if (level != null && level.mWeight >= 1) {
                source = WorkEstimate.Source.values()[depth + 1];
                samples = level.mWeight;
                ratios = shrunk(level, ratios, depth);
            }
        }
        double mean = 0;
        double weights = 0;
        double leastVariance = Double.MAX_VALUE;
        for (int i = 0; i < predictors(features); i++) {
            double variance = Math.max(MIN_VARIANCE, ratios[i].variance());
            double weight = 1 / (variance * variance);
            mean += weight * (Math.log(predicted(i, features)) + ratios[i].mean());
            weights += weight;
            leastVariance = Math.min(leastVariance, variance);
        }
        double median = mean / weights;
        return new WorkEstimate(
                clamp(Math.exp(median + Math.min(MAX_MEAN_VARIANCE, leastVariance) / 2)),
                clamp(Math.exp(median + HIGH_DEVIATIONS * Math.sqrt(leastVariance))),
                memoryTokens(features),
                features.declared().hasBound(),
                source,
                samples);
    }

    /**
     * Learns from a call whose answer was complete; one that broke off tells nothing.
     *
     * @param heldMillis how long the call held its slot
     * @param speed how long work took at the target, as a multiple of the usual time, above 0
     */
    public void observed(WorkFeatures features, double heldMillis, double speed, long nowNanos) {
        double sample = Math.log(clamp(heldMillis / speed));
        List<Level> levels = new ArrayList<>(LEVELS);
        for (int depth = 0; depth < LEVELS; depth++) {
            Level level = mLevels.computeIfAbsent(key(features, depth), key -> new Level(nowNanos));
            level.decay(nowNanos);
            levels.add(level);
        }
        double routeWeight = Math.pow(1 + levels.get(1).mWeight / MAX_ORGANISATION_WEIGHT, -2);
        Moments[] expected = INITIAL;
        for (int depth = 0; depth < LEVELS; depth++) {
            Level level = levels.get(depth);
            double weight = depth == 0 ? routeWeight : 1;
            expected = shrunk(level, expected, depth);
            for (int i = 0; i < predictors(features); i++) {
                double ratio = sample - Math.log(predicted(i, features));
                level.mRatios[i].add(ratio, expected[i], weight);
            }
            level.mWeight += weight;
        }
    }

    /** Returns the number of routes, organisations and subjects that are remembered. */
    int size() {
        return mLevels.size();
    }

    private static Moments[] shrunk(Level level, Moments[] coarser, int depth) {
        Moments[] shrunk = new Moments[PREDICTORS];
        for (int i = 0; i < PREDICTORS; i++) {
            shrunk[i] = level.mRatios[i].shrunk(coarser[i], depth == 0 ? 1 : PRIOR_SAMPLES);
        }
        return shrunk;
    }

    private static Key key(WorkFeatures features, int depth) {
        return new Key(
                features.route(),
                depth > 0 ? features.organisation() : "",
                depth > 1 ? features.subject() : "");
    }

    private static int predictors(WorkFeatures features) {
        return features.declared().hint() > 0 ? PREDICTORS : PREDICTORS - 1;
    }

    /** Returns the time that a predictor gives, in milliseconds. */
    private static double predicted(int predictor, WorkFeatures features) {
        DeclaredSizes declared = features.declared();
        boolean isDeclared = declared.prompt() + declared.mostOutput() > 0;
        if (predictor == 0 || predictor != HINT && !isDeclared) {
            return UNDECLARED_MILLIS;
        }
        double output = OUTPUT_SHARE * declared.mostOutput();
        if (predictor == HINT) {
            boolean isCapped = declared.mostOutput() > 0;
            output = isCapped ? Math.min(declared.hint(), declared.mostOutput()) : declared.hint();
        }
        return clamp(PROMPT_TOKEN_MILLIS * declared.prompt() + OUTPUT_TOKEN_MILLIS * output);
    }

    private static double clamp(double millis) {
        return Math.min(MAX_MILLIS, Math.max(1, millis));
    }

    private static int memoryTokens(WorkFeatures features) {
        DeclaredSizes declared = features.declared();
        return declared.hasBound()
                ? (int)
                        Math.min(
                                Integer.MAX_VALUE, (long) declared.prompt() + declared.mostOutput())
                : Math.min(MAX_UNDECLARED_TOKENS, features.bodyBytes() / BYTES_PER_TOKEN);
    }
}
