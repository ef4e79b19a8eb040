package org.coltsfootproxy.fake;

import java.util.HashMap;
import java.util.Map;

/** What one stand-in target knows; confined to its event loop but for the record. */
final class TargetState {
    private final FakeTargetSettings mSettings;
    private final EngineModel mEngine;
    private final EngineReports mReports;
    private final Orders mOrders;
    private final RunRecord mRecord = RunRecord.create();
    private final Map<String, TokenStream> mStreams = new HashMap<>();
    private volatile Fault mFault = Fault.NONE;
    private long mNumber;

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

    /** Returns the streams that run, by request id. */
    Map<String, TokenStream> streams() {
        return mStreams;
    }

    void setFault(Fault fault) {
        mFault = fault;
    }

    Fault fault() {
        return mFault;
    }

    /** Returns what goes wrong with the request that has just arrived. */
    Fault.Kind nextFault() {
        mNumber++;
        return mFault.at(mNumber);
    }
}
