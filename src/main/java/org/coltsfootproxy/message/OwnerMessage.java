package org.coltsfootproxy.message;

import java.util.List;
import org.coltsfootproxy.base.WireCode;

/** Messages between entries about who owns the token buckets of which organisations. */
public sealed interface OwnerMessage extends Message {
    @Override
    default Lane lane() {
        return Lane.CONTROL;
    }

    /**
     * Entry to entry: these shards of organisations are mine.
     *
     * @param owned all shards whose lease the sender holds; empty if it holds none
     */
    @WireCode(450)
    record Owns(List<Owned> owned) implements OwnerMessage {
        /** Copies the list. */
        public Owns {
            owned = List.copyOf(owned);
        }
    }

    /**
     * One shard and the fencing number of its lease.
     *
     * @param shard number of the shard
     * @param fencing fencing number; of two claims to one shard the higher is the later
     */
    record Owned(int shard, long fencing) {}
}
