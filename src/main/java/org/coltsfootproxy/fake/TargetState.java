package org.coltsfootproxy.fake;

import java.util.HashMap;
import java.util.Map;

/**
 * The state of one stand-in target. Confined to its event loop, except the record and the fault.
 */
final class TargetState {
    private final FakeTargetSettings mSettings;
    private final EngineModel mEngine;
    private final EngineReports mReports;
    private final Orders mOrders;
    private final RunRecord mRecord = RunRecord.create();
    private final Map<String, TokenStream> mStreams = new HashMap<>();
    private volatile Fault mFault = Fault.NONE;
    private long mRequestCount;

    TargetState(FakeTargetSettings settings) {
        mSettings = settings;
        mEngine = EngineModel.of(settings.timing());
        mReports = new EngineReports(settings);
        mOrders = new Orders(settings.fenced());
    }

    FakeTargetSettings settings() {
        return mSettings;
    }

    EngineModel engine() {
        return mEngine;
    }

    EngineReports reports() {
        return mReports;
    }

    Orders orders() {
        return mOrders;
    }

    RunRecord record() {
        return mRecord;
    }

    /** Returns the requests that an engine is running, by request id. */
    Map<String, TokenStream> streams() {
        return mStreams;
    }

    void setFault(Fault fault) {
        mFault = fault;
    }

    Fault fault() {
        return mFault;
    }

    /** Counts a request that has just arrived and returns its kind of fault. */
    Fault.Kind nextFault() {
        mRequestCount++;
        return mFault.kindFor(mRequestCount);
    }
}
