package org.coltsfootproxy.admission;

/** When entries decide under contention by rank and fair share. */
public enum ContentionMode {
    /** For services whose targets tell their speed. */
    AUTO,
    /** For all services. */
    FAIR,
    /** For none. */
    OFF;

    /** Returns whether a service is decided by rank and fair share. */
    public boolean isFair(boolean targetsTellSpeed) {
        return this == FAIR || this == AUTO && targetsTellSpeed;
    }
}
